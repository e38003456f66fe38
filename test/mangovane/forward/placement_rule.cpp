// Tests of the rules of placement.
#include "mangovane/forward/placement_rule.hpp"

#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

std::vector<placement_candidate> make_options(std::size_t count)
{
    std::vector<placement_candidate> result;
    for (std::size_t n = 0; n != count; ++n)
    {
        result.push_back({endpoint_id::of("engine-" + std::to_string(n)),
                          domain_id::of(n % 2 == 0 ? "ikeja-a" : "lekki-b"), 0, false});
    }
    return result;
}

bool admit_all(const placement_candidate&)
{
    return true;
}

placement_context scene_of(const std::vector<placement_candidate>& options,
                           std::uint64_t affinity,
                           std::uint64_t chance = 1)
{
    return {options, 4, affinity, chance, domain_id::of("lekki-b")};
}

} // namespace

TEST_CASE("requests that share a prefix")
{
    auto options = make_options(12);
    const auto& rule = sticky_placement();
    const auto home = *rule.choose(scene_of(options, 77), admit_all);

    SUBCASE("go to the same endpoint, whatever the chance and the instance")
    {
        for (std::uint64_t chance = 0; chance != 20; ++chance)
        {
            CHECK(*rule.choose(scene_of(options, 77, chance), admit_all) == home);
        }
    }
    SUBCASE("are spread over the endpoints by their prefix")
    {
        std::set<std::size_t> used;
        for (std::uint64_t prefix = 1; prefix != 100; ++prefix)
        {
            used.insert(*rule.choose(scene_of(options, prefix), admit_all));
        }
        CHECK(used.size() == options.size());
    }
    SUBCASE("go elsewhere while their endpoint is at the bound, always to the same one")
    {
        options[home].load = 4;
        const auto second = *rule.choose(scene_of(options, 77), admit_all);
        CHECK(second != home);
        CHECK(*rule.choose(scene_of(options, 77, 9), admit_all) == second);

        SUBCASE("and to the least loaded when all are")
        {
            for (auto& it : options)
            {
                it.load = 9;
            }
            options[3].load = 5;
            CHECK(*rule.choose(scene_of(options, 77), admit_all) == 3);
        }
    }
    SUBCASE("avoid an endpoint that fails, unless there is no other")
    {
        options[home].avoided = true;
        CHECK(*rule.choose(scene_of(options, 77), admit_all) != home);
        const std::vector<placement_candidate> alone{options[home]};
        CHECK(*rule.choose(scene_of(alone, 77), admit_all) == 0);
    }
    SUBCASE("do not go to an endpoint that is not admitted")
    {
        const auto refuse_home = [&](const placement_candidate& it)
        { return it.endpoint != options[home].endpoint; };
        CHECK(*rule.choose(scene_of(options, 77), refuse_home) != home);
        CHECK_FALSE(rule.choose(scene_of(options, 77), [](const auto&) { return false; }));
    }
}

TEST_CASE("requests without a prefix")
{
    auto options = make_options(4);
    const auto& rule = least_loaded_placement();
    for (auto& it : options)
    {
        it.load = 3;
    }

    SUBCASE("go to the least loaded endpoint")
    {
        options[0].load = 1;
        CHECK(*rule.choose(scene_of(options, 0), admit_all) == 0);
    }
    SUBCASE("stay in the own failure domain where loads are equal")
    {
        for (std::uint64_t chance = 0; chance != 20; ++chance)
        {
            const auto chosen = *rule.choose(scene_of(options, 0, chance), admit_all);
            CHECK(options[chosen].domain == domain_id::of("lekki-b"));
        }
    }
}

TEST_CASE("the bound on the load is under the limit that the operators state")
{
    const load_bound bound{2, 3};
    for (double mean = 0; mean < 60; mean += 0.7)
    {
        CHECK(bound.allowed(mean) <= 2 * mean + 3);
        // An endpoint at the mean must be usable, or the service stands still.
        CHECK(bound.allowed(mean) > mean);
    }
}

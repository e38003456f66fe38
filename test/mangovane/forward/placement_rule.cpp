// Tests of the placement rules: prefix affinity under a load bound, and the least loaded endpoint.
// Guards against an overloaded endpoint when many requests share a prefix, and against moves that
// lose cached prefixes.
#include "mangovane/forward/placement_rule.hpp"

#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

std::vector<placement_candidate> make_candidates(std::size_t count)
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

placement_context make_context(const std::vector<placement_candidate>& candidates,
                               std::uint64_t affinity,
                               std::uint64_t seed = 1)
{
    return {candidates, 4, affinity, seed, domain_id::of("lekki-b")};
}

} // namespace

TEST_CASE("requests that share a prefix")
{
    auto candidates = make_candidates(12);
    const auto& rule = sticky_placement();
    const auto home = *rule.choose(make_context(candidates, 77), admit_all);

    SUBCASE("go to the same endpoint, whatever the seed")
    {
        for (std::uint64_t seed = 0; seed != 20; ++seed)
        {
            CHECK(*rule.choose(make_context(candidates, 77, seed), admit_all) == home);
        }
    }
    SUBCASE("are distributed over the endpoints by their prefix")
    {
        std::set<std::size_t> used;
        for (std::uint64_t prefix = 1; prefix != 100; ++prefix)
        {
            used.insert(*rule.choose(make_context(candidates, prefix), admit_all));
        }
        CHECK(used.size() == candidates.size());
    }
    SUBCASE("go to a fixed second endpoint while the first is at the bound")
    {
        candidates[home].load = 4;
        const auto second = *rule.choose(make_context(candidates, 77), admit_all);
        CHECK(second != home);
        CHECK(*rule.choose(make_context(candidates, 77, 9), admit_all) == second);

        SUBCASE("and to the least loaded when all are at the bound")
        {
            for (auto& it : candidates)
            {
                it.load = 9;
            }
            candidates[3].load = 5;
            CHECK(*rule.choose(make_context(candidates, 77), admit_all) == 3);
        }
    }
    SUBCASE("avoid a failing endpoint unless there is no other")
    {
        candidates[home].avoided = true;
        CHECK(*rule.choose(make_context(candidates, 77), admit_all) != home);
        const std::vector<placement_candidate> alone{candidates[home]};
        CHECK(*rule.choose(make_context(alone, 77), admit_all) == 0);
    }
    SUBCASE("do not go to an endpoint that the filter rejects")
    {
        const auto refuse_home = [&](const placement_candidate& it)
        { return it.endpoint != candidates[home].endpoint; };
        CHECK(*rule.choose(make_context(candidates, 77), refuse_home) != home);
        CHECK_FALSE(rule.choose(make_context(candidates, 77), [](const auto&) { return false; }));
    }
}

TEST_CASE("requests without a prefix")
{
    auto candidates = make_candidates(4);
    const auto& rule = least_loaded_placement();
    for (auto& it : candidates)
    {
        it.load = 3;
    }

    SUBCASE("go to the least loaded endpoint")
    {
        candidates[0].load = 1;
        CHECK(*rule.choose(make_context(candidates, 0), admit_all) == 0);
    }
    SUBCASE("stay in the own failure domain when loads are equal")
    {
        for (std::uint64_t seed = 0; seed != 20; ++seed)
        {
            const auto chosen = *rule.choose(make_context(candidates, 0, seed), admit_all);
            CHECK(candidates[chosen].domain == domain_id::of("lekki-b"));
        }
    }
}

TEST_CASE("the load bound stays below the limit stated by the operators")
{
    const load_bound bound{2, 3};
    for (double mean = 0; mean < 60; mean += 0.7)
    {
        CHECK(bound.allowed(mean) <= 2 * mean + 3);
        // An endpoint at the mean load must accept requests, or the service stops.
        CHECK(bound.allowed(mean) > mean);
    }
}

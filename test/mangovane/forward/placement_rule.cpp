// Tests of the placement rules: prefix affinity under a load bound, and the least loaded endpoint.
// Guards against an overloaded endpoint when many requests share a prefix, and against moves that
// lose cached prefixes.
#include "mangovane/forward/placement_rule.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include <doctest/doctest.h>

#include "mangovane/core/hash.hpp"

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

using positions = std::vector<std::size_t>;

/// The rules as specified: all candidates in an order, and the first one that is admitted.
template <class Key>
positions sorted_by(const placement_context& context, Key key)
{
    positions result(context.candidates.size());
    std::iota(result.begin(), result.end(), std::size_t{0});
    std::sort(result.begin(), result.end(),
              [&](std::size_t lhs, std::size_t rhs)
              { return key(context.candidates[lhs]) < key(context.candidates[rhs]); });
    return result;
}

std::optional<std::size_t>
first_of(const placement_context& context, const positions& order, admission_filter admit)
{
    const auto it = std::find_if(order.begin(), order.end(),
                                 [&](std::size_t n) { return admit(context.candidates[n]); });
    return it == order.end() ? std::nullopt : std::optional{*it};
}

std::optional<std::size_t> sorted_by_load(const placement_context& context, admission_filter admit)
{
    const auto order =
        sorted_by(context,
                  [&](const placement_candidate& it)
                  {
                      const auto tie =
                          rendezvous_score(context.tie_break_seed, it.endpoint.value());
                      return std::tuple{it.avoided, it.load, it.domain != context.own_domain, tie};
                  });
    return first_of(context, order, admit);
}

std::optional<std::size_t> sorted_by_prefix(const placement_context& context,
                                            admission_filter admit)
{
    const auto order =
        sorted_by(context, [&](const placement_candidate& it)
                  { return ~rendezvous_score(context.affinity, it.endpoint.value()); });
    const auto has_room = [&](const placement_candidate& it)
    { return !it.avoided && it.load < context.allowed && admit(it); };
    const auto found = first_of(context, order, has_room);
    return found ? found : sorted_by_load(context, admit);
}

} // namespace

TEST_CASE("a choice without a sort")
{
    // Guards against placements that change with the way in which the rules search: prefixes would
    // lose their endpoints, and the tests of other parts rely on the same results for a seed.
    for (std::uint64_t seed = 0; seed != 400; ++seed)
    {
        auto candidates = make_candidates(1 + seed % 60);
        for (auto& it : candidates)
        {
            const auto value = hash_combine(seed, it.endpoint.value());
            it.load = static_cast<std::uint32_t>(value % 7);
            it.avoided = (value >> 32U) % 5 == 0;
        }
        for (const std::uint64_t percent : {100, 60, 5, 0})
        {
            const auto context = make_context(candidates, seed + 1, seed);
            // The same admissions must be asked for, in the same order: one may be consumed.
            std::vector<endpoint_id> asked;
            std::vector<endpoint_id> asked_when_sorted;
            const auto admit_into = [&](std::vector<endpoint_id>& list)
            {
                return [&](const placement_candidate& it)
                {
                    list.push_back(it.endpoint);
                    return hash_combine(seed, it.endpoint.value() + 1) % 100 < percent;
                };
            };
            const auto admit = admit_into(asked);
            const auto admit_sorted = admit_into(asked_when_sorted);
            CHECK(least_loaded_placement().choose(context, admit) ==
                  sorted_by_load(context, admit_sorted));
            CHECK(sticky_placement().choose(context, admit) ==
                  sorted_by_prefix(context, admit_sorted));
            CHECK(asked == asked_when_sorted);
        }
    }
}

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

// Tests of the placement strategies: the production strategy and the baselines. Guards against
// plans that omit endpoints or move chats needlessly.
#include "mangovane/placement/placement_strategy.hpp"

#include <algorithm>
#include <map>
#include <set>

#include <doctest/doctest.h>

#include "mangovane/core/hash.hpp"

using namespace mangovane;

namespace
{

std::vector<candidate> make_candidates(std::size_t count)
{
    std::vector<candidate> result;
    for (std::size_t n = 0; n != count; ++n)
    {
        result.push_back({endpoint_id{hash_combine(n, 11)}, static_cast<std::uint32_t>(n % 7)});
    }
    std::sort(result.begin(), result.end());
    return result;
}

/// First endpoint of the plan of a baseline.
endpoint_id first_choice(const placement_plan& plan)
{
    return plan.fallback.front();
}

} // namespace

TEST_CASE("the production strategy")
{
    const auto strategy = make_strategy("last_two");
    const auto candidates = make_candidates(20);
    placement_query query{7, 42, {}, candidates, 6};

    SUBCASE("samples distinct endpoints for a new chat: a duplicate would shrink the sample")
    {
        const auto plan = strategy->plan(query);
        CHECK(plan.warm.empty());
        CHECK(std::set(plan.sample.begin(), plan.sample.end()).size() == 6);
        CHECK(strategy->plan(query) == plan);
    }

    SUBCASE("tries the locations of a returning chat in order, newest prefix first")
    {
        query.locations.endpoints = {candidates[9].endpoint, candidates[3].endpoint};
        const auto warm = strategy->plan(query).warm;
        CHECK(warm == std::vector{candidates[9].endpoint, candidates[3].endpoint});
    }

    SUBCASE("skips a location that is not a candidate: it may not serve the request")
    {
        query.locations.endpoints = {endpoint_id::of("gone"), candidates[3].endpoint};
        CHECK(strategy->plan(query).warm == std::vector{candidates[3].endpoint});
    }

    SUBCASE("terminates when there are fewer endpoints than the sample size")
    {
        query.candidates = std::span{candidates}.first(2);
        CHECK(strategy->plan(query).sample.size() == 2);
    }
}

TEST_CASE("every strategy")
{
    const auto candidates = make_candidates(20);
    for (const auto name : strategy_names())
    {
        CAPTURE(name);
        const auto strategy = make_strategy(name);
        REQUIRE(strategy != nullptr);
        // Guards against a table entry that creates a strategy with another name.
        CHECK(strategy->name() == name);
        const auto plan = strategy->plan({7, 42, {}, candidates, 6});
        // Guards against a baseline that omits endpoints and so refuses while one has capacity.
        CHECK((plan.sample.size() == 6 || plan.fallback.size() == candidates.size()));
        CHECK(std::set(plan.fallback.begin(), plan.fallback.end()).size() == plan.fallback.size());
        // Guards against a division by zero when there are no candidates.
        CHECK(strategy->plan({7, 42, {}, {}, 6}) == placement_plan{});
    }
    CHECK(make_strategy("unknown") == nullptr);
}

TEST_CASE("the baseline strategies")
{
    const auto candidates = make_candidates(21);
    const auto choose = [&](const placement_strategy& it, std::uint64_t key, std::uint64_t seed) {
        return first_choice(it.plan({key, seed, {}, candidates, 6}));
    };

    SUBCASE("hash by the key only, and keep chats in place when another endpoint leaves")
    {
        const auto strategy = make_strategy("bounded_hash");
        const auto fewer = std::span{candidates}.subspan(1);
        for (std::uint64_t key = 0; key != 50; ++key)
        {
            const auto chosen = choose(*strategy, key, 1);
            CHECK(chosen == choose(*strategy, key, 2));
            if (chosen != candidates.front().endpoint)
            {
                CHECK(chosen == first_choice(strategy->plan({key, 3, {}, fewer, 6})));
            }
        }
    }

    SUBCASE("use all endpoints with round robin, modulo and random")
    {
        for (const auto name : {"round_robin", "modulo", "random"})
        {
            CAPTURE(name);
            const auto strategy = make_strategy(name);
            std::map<endpoint_id, int> counts;
            for (std::uint64_t n = 0; n != 2100; ++n)
            {
                ++counts[choose(*strategy, n, n)];
            }
            CHECK(counts.size() == candidates.size());
        }
    }

    SUBCASE("choose an endpoint with the lowest reported load")
    {
        const auto chosen = choose(*make_strategy("least_loaded_lagged"), 1, 9);
        const auto it = std::find_if(candidates.begin(), candidates.end(),
                                     [&](const candidate& c) { return c.endpoint == chosen; });
        CHECK(it->reported_load == 0);
    }
}

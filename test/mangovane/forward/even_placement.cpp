// Guards against herding: instances that know each other's requests late and all send to the
// endpoint that looks least loaded. The bounds are the targets of docs/design/hard-load.md,
// relative to perfect knowledge in the same run.
#include "stale_fleet.hpp"

#include <doctest/doctest.h>

#include "mangovane/forward/expected_fill.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr double fresh_period = 200;  ///< ms between digests inside a failure domain.
constexpr double stale_period = 1000; ///< ms between digests to other domains.
constexpr double fresh_target = 1.2;  ///< Multiple of the 99th percentile of perfect knowledge.
constexpr double stale_target = 1.35;

fleet_result play(const fleet_figures& figures, chooser how)
{
    return stale_fleet{figures, how}.play();
}

/// The promises for a load, with digests of either period.
void check_load(fleet_figures figures)
{
    for (const auto& [period, target] :
         {std::pair{fresh_period, fresh_target}, std::pair{stale_period, stale_target}})
    {
        CAPTURE(period);
        figures.digest_period = period;
        const auto even = play(figures, chooser::even);
        const auto least_loaded = play(figures, chooser::least_loaded);
        CHECK(even.p99 <= target * play(figures, chooser::perfect).p99);
        CHECK(even.p99 < least_loaded.p99);
        CHECK(even.waited_in_vain < least_loaded.waited_in_vain);
    }
}

placement_candidate candidate(std::uint64_t id, std::uint32_t load, double speed = 1)
{
    return {endpoint_id{id}, domain_id{1}, load, false, speed};
}

} // namespace

TEST_CASE("a load that many instances see late is spread evenly")
{
    fleet_figures figures;

    SUBCASE("by a hundred instances")
    {
        check_load(figures);
    }
    SUBCASE("by 360 instances over more endpoints")
    {
        figures.instances = 360;
        figures.endpoints = 10;
        figures.requests_per_s = 1150;
        check_load(figures);
    }
    SUBCASE("while one endpoint returns and one is new")
    {
        figures.endpoints = 5;
        figures.requests_per_s = 500;
        figures.speed = [](std::size_t endpoint, double at)
        {
            const bool away = endpoint == 0 && at > 10000 && at < 14000;
            const bool not_started = endpoint == 1 && at < 5000;
            return away || not_started ? 0.0 : 1.0;
        };
        check_load(figures);
    }
}

TEST_CASE("an even choice while all endpoints are at the bound")
{
    // Guards against a request that is refused because one of several equally loaded endpoints is
    // cold.
    const std::vector<placement_candidate> candidates{candidate(1, 9), candidate(2, 9),
                                                      candidate(3, 9)};
    for (std::uint64_t seed = 0; seed != 20; ++seed)
    {
        const placement_context context{candidates, 4, 0, seed, domain_id{1}};
        int asked = 0;
        const auto admit_third = [&](const placement_candidate&) { return ++asked == 3; };
        CHECK(even_placement().choose(context, admit_third));
        CHECK(asked == 3);
    }
}

TEST_CASE("an even choice for a request with many tokens")
{
    // Guards against an engine that ends all its streams because its memory is exceeded.
    std::vector<placement_candidate> candidates{candidate(1, 0), candidate(2, 3), candidate(3, 0)};
    candidates[0].can_hold = false;
    candidates[0].free_tokens = 500;
    candidates[2].can_hold = false;
    candidates[2].free_tokens = 700;
    std::size_t expected = 1;
    SUBCASE("goes to the endpoint that can hold it, also at the load bound or avoided")
    {
        candidates[1].load = 9;
        candidates[1].avoided = true;
    }
    SUBCASE("goes to the one with the most free tokens if none can")
    {
        candidates[1].can_hold = false;
        expected = 2;
    }
    const auto admit_all = [](const placement_candidate&) { return true; };
    for (std::uint64_t seed = 0; seed != 20; ++seed)
    {
        const placement_context context{candidates, 4, seed + 1, seed, domain_id{1}};
        CHECK(even_placement().choose(context, admit_all) == expected);
        CHECK(sticky_even_placement().choose(context, admit_all) == expected);
    }
}

TEST_CASE("the room of an endpoint")
{
    const std::vector<placement_candidate> candidates{candidate(1, 0), candidate(2, 2),
                                                      candidate(3, 9)};

    SUBCASE("is all at the least loaded endpoint if everything is reported")
    {
        const expected_fill fill{candidates, 0};
        CHECK(fill.room(candidates[0]) == doctest::Approx(1));
        CHECK(fill.room(candidates[1]) == 0);
        CHECK(fill.room(candidates[2]) == 0);
    }
    SUBCASE("evens out the loads if some requests are not reported yet")
    {
        const expected_fill fill{candidates, 3};
        CHECK(fill.room(candidates[0]) == doctest::Approx(3));
        CHECK(fill.room(candidates[1]) == doctest::Approx(1));
        CHECK(fill.room(candidates[2]) == 0);
    }
    SUBCASE("is nearly the same everywhere if most requests are not reported")
    {
        const expected_fill fill{candidates, 10'000};
        CHECK(fill.room(candidates[2]) > 0.99 * fill.room(candidates[0]));
    }
    SUBCASE("is smaller at a slow endpoint")
    {
        const std::vector<placement_candidate> unequal{candidate(1, 0), candidate(2, 0, 0.5)};
        const expected_fill fill{unequal, 10};
        CHECK(fill.room(unequal[1]) < fill.room(unequal[0]) / 2);
    }
}

TEST_CASE("an even choice passes over an endpoint that is not admitted or avoided")
{
    std::vector<placement_candidate> candidates{candidate(1, 0), candidate(2, 0), candidate(3, 0)};
    candidates[0].avoided = true;
    const placement_context context{candidates, 4, 0, 7, domain_id{1}, 0};
    const auto not_second = [](const placement_candidate& it)
    { return it.endpoint != endpoint_id{2}; };
    CHECK(*even_placement().choose(context, not_second) == 2);

    SUBCASE("but takes an avoided one if there is no other")
    {
        const auto first_only = [](const placement_candidate& it)
        { return it.endpoint == endpoint_id{1}; };
        CHECK(*even_placement().choose(context, first_only) == 0);
    }
    SUBCASE("and takes none if none is admitted")
    {
        const auto none = [](const placement_candidate&) { return false; };
        CHECK_FALSE(even_placement().choose(context, none));
    }
}

TEST_CASE("requests that share a prefix")
{
    std::vector<placement_candidate> candidates;
    for (std::uint64_t n = 1; n <= 12; ++n)
    {
        candidates.push_back(candidate(n, 0));
    }
    const auto all = [](const placement_candidate&) { return true; };
    const auto choose = [&](std::uint64_t seed)
    {
        const placement_context context{candidates, 4, 77, seed, domain_id{1}, 0};
        return *sticky_even_placement().choose(context, all);
    };
    const auto home = choose(1);

    SUBCASE("stay at one endpoint, the same as before loads were spread evenly")
    {
        const placement_context context{candidates, 4, 77, 5, domain_id{1}, 0};
        CHECK(choose(2) == home);
        CHECK(*sticky_placement().choose(context, all) == home);
    }
    SUBCASE("leave it together for another one while it works much slower")
    {
        candidates[home].speed = 0.4;
        const auto other = choose(1);
        CHECK(other != home);
        CHECK(choose(2) == other);
    }
    SUBCASE("leave it at the load bound")
    {
        candidates[home].load = 4;
        CHECK(choose(1) != home);
    }
}

// Tests of what an instance knows of endpoints: its own requests and the digests of others.
#include "mangovane/forward/endpoint_tracker.hpp"

#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"

using namespace mangovane;
using test::start;

TEST_CASE("the board of endpoints")
{
    endpoint_tracker tracker;
    const auto engine = endpoint_id::of("engine-1");
    const auto peer = instance_id::of("peer");

    SUBCASE("adds up the requests of all instances, so that no instance overloads an endpoint")
    {
        tracker.on_started(engine);
        tracker.on_started(engine);
        tracker.on_digest(peer, {{{engine, 5, 0, 0}}}, start);
        CHECK(tracker.snapshot_of(engine, start).load == 7);

        SUBCASE("a new digest replaces the one before")
        {
            tracker.on_digest(peer, {{{engine, 1, 0, 0}}}, start);
            CHECK(tracker.snapshot_of(engine, start).load == 3);
            tracker.on_digest(peer, {}, start);
            CHECK(tracker.snapshot_of(engine, start).load == 2);
        }
        SUBCASE("an instance that is silent counts no longer")
        {
            const auto later = start + endpoint_tracker::digest_ttl;
            tracker.expire(later - milliseconds{1});
            CHECK(tracker.snapshot_of(engine, later).load == 7);
            tracker.expire(later);
            CHECK(tracker.snapshot_of(engine, later).load == 2);
        }
        SUBCASE("an end that is not matched by a start does not wrap around")
        {
            for (int n = 0; n != 5; ++n)
            {
                tracker.on_finished(engine, health_outcome::answered, start);
            }
            CHECK(tracker.snapshot_of(engine, start).load == 5);
        }
    }
    SUBCASE("tells the others of its requests and of how they ended")
    {
        tracker.on_started(engine);
        tracker.on_started(engine);
        tracker.on_finished(engine, health_outcome::failed, start);
        const auto digest = tracker.digest(start);
        REQUIRE(digest.endpoints.size() == 1);
        CHECK(digest.endpoints.front() == endpoint_digest{engine, 1, 1, 0});

        SUBCASE("results are forgotten after two periods")
        {
            tracker.on_finished(engine, health_outcome::cancelled, start);
            CHECK(tracker.digest(start + seconds{4}).endpoints.empty());
        }
    }
    SUBCASE("an endpoint that cannot be reached is left alone for longer each time")
    {
        const auto fail = [&](time_point now)
        {
            tracker.on_started(engine);
            tracker.on_finished(engine, health_outcome::unreachable, now);
        };
        fail(start);
        CHECK(tracker.snapshot_of(engine, start + milliseconds{399}).suspended);
        CHECK_FALSE(tracker.snapshot_of(engine, start + milliseconds{400}).suspended);
        fail(start + seconds{1});
        CHECK(tracker.snapshot_of(engine, start + milliseconds{1799}).suspended);

        SUBCASE("until it answers")
        {
            tracker.on_started(engine);
            tracker.on_finished(engine, health_outcome::answered, start + milliseconds{1100});
            CHECK_FALSE(tracker.snapshot_of(engine, start + milliseconds{1200}).suspended);
        }
    }
    SUBCASE("a cold endpoint gets requests apart, also after it was idle for long")
    {
        CHECK(tracker.try_admit_cold(engine, seconds{10}, seconds{0}, start));
        CHECK_FALSE(tracker.try_admit_cold(engine, seconds{10}, seconds{0}, start + seconds{9}));
        // Forgetting the last request when nothing else is known would send the next too soon.
        tracker.expire(start + seconds{8});
        CHECK_FALSE(tracker.try_admit_cold(engine, seconds{10}, seconds{0}, start + seconds{9}));
        CHECK(tracker.try_admit_cold(engine, seconds{10}, seconds{0}, start + seconds{10}));

        SUBCASE("and waits with the first when it has become cold anew")
        {
            const auto later = start + seconds{100};
            CHECK_FALSE(tracker.try_admit_cold(engine, seconds{10}, seconds{4}, later));
            CHECK_FALSE(
                tracker.try_admit_cold(engine, seconds{10}, seconds{4}, later + seconds{3}));
            CHECK(tracker.try_admit_cold(engine, seconds{10}, seconds{4}, later + seconds{4}));
        }
    }
}

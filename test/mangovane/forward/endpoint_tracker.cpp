// Tests of the endpoint tracker: own requests, digests of other instances, suspension and cold
// endpoints. Guards against endpoints overloaded because instances count only their own requests.
#include "mangovane/forward/endpoint_tracker.hpp"

#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"

using namespace mangovane;
using test::start;

TEST_CASE("the endpoint tracker")
{
    endpoint_tracker tracker;
    const auto engine = endpoint_id::of("engine-1");
    const auto peer = instance_id::of("peer");

    SUBCASE("adds up the requests of all instances, so that no instance overloads an endpoint")
    {
        tracker.on_started(engine);
        tracker.on_started(engine);
        tracker.on_digest(peer, {{{engine, 5, 0, 0}}}, start);
        CHECK(tracker.snapshot_of(engine, 0, start).load == 7);

        SUBCASE("replaces the previous digest of an instance with a new one")
        {
            tracker.on_digest(peer, {{{engine, 1, 0, 0}}}, start);
            CHECK(tracker.snapshot_of(engine, 0, start).load == 3);
            tracker.on_digest(peer, {}, start);
            CHECK(tracker.snapshot_of(engine, 0, start).load == 2);
        }
        SUBCASE("drops the digest of an instance that sends no more digests")
        {
            const auto later = start + endpoint_tracker::digest_ttl;
            tracker.expire(later - milliseconds{1});
            CHECK(tracker.snapshot_of(engine, 0, later).load == 7);
            tracker.expire(later);
            CHECK(tracker.snapshot_of(engine, 0, later).load == 2);
        }
        SUBCASE("does not wrap around when attempts finish that never started")
        {
            for (int n = 0; n != 5; ++n)
            {
                tracker.on_finished(engine, health_outcome::answered, start);
            }
            CHECK(tracker.snapshot_of(engine, 0, start).load == 5);
        }
    }
    SUBCASE("reports its own requests and their results in a digest")
    {
        tracker.on_started(engine);
        tracker.on_started(engine);
        tracker.on_finished(engine, health_outcome::failed, start);
        const auto digest = tracker.digest(start);
        REQUIRE(digest.endpoints.size() == 1);
        CHECK(digest.endpoints.front() == endpoint_digest{engine, 1, 1, 0});

        SUBCASE("and drops results after two periods")
        {
            tracker.on_finished(engine, health_outcome::cancelled, start);
            CHECK(tracker.digest(start + seconds{4}).endpoints.empty());
        }
    }
    SUBCASE("knows the speed that an endpoint states")
    {
        const auto notice = [](std::uint32_t work) {
            return endpoint_notice{false, {}, stated_load{3, 1, 6, work}};
        };
        const auto speed = [&](endpoint_tracker& it, time_point now, incarnation epoch = 1)
        { return it.snapshot_of(engine, epoch, now).known.speed; };
        tracker.on_notice(engine, 1, notice(0), start);
        CHECK_FALSE(tracker.speed_stated());
        tracker.on_notice(engine, 1, notice(200), start);
        CHECK(tracker.speed_stated());
        CHECK(speed(tracker, start) == 0.5);
        CHECK(tracker.snapshot_of(engine, 1, start).known.slots == 6);

        SUBCASE("smoothed over a second")
        {
            const auto later = start + milliseconds{100};
            tracker.on_notice(engine, 1, notice(100), later);
            CHECK(speed(tracker, later) > 0.5);
            CHECK(speed(tracker, later) < 0.75);
            tracker.on_notice(engine, 1, notice(100), later + seconds{1});
            CHECK(speed(tracker, later + seconds{1}) == 1);
        }
        SUBCASE("until the statement is old, and only of this incarnation")
        {
            CHECK(speed(tracker, start + seconds{1}) == 0.5);
            CHECK(speed(tracker, start + seconds{2}) == doctest::Approx(0.75));
            CHECK(speed(tracker, start + seconds{3}) == 1);
            CHECK(speed(tracker, start, 2) == 1);
        }
        SUBCASE("and passes it on with its age; the newest statement wins")
        {
            tracker.on_started(engine);
            endpoint_tracker other;
            CHECK(speed(other, start) == 1);
            const auto at = start + milliseconds{300};
            other.on_digest(peer, tracker.digest(at), at);
            CHECK(other.speed_stated());
            CHECK(speed(other, at) == 0.5);
            CHECK(speed(other, start + seconds{2}) == doctest::Approx(0.75));

            other.on_notice(engine, 1, notice(125), at);
            CHECK(speed(other, at) == 0.8);
            other.on_digest(instance_id::of("slow"), {{{engine, 1, 0, 0, 25, 20}}}, at);
            CHECK(speed(other, at) == 0.8);
            // A speed that is too old to be expressed is left out.
            CHECK(tracker.digest(start + milliseconds{2560}).endpoints.front().speed == 0);
        }
    }
    SUBCASE("knows how old its knowledge of the others is")
    {
        CHECK(tracker.mean_digest_age(start) == duration{0});
        tracker.on_digest(peer, {{{engine, 5, 0, 9}}}, start);
        tracker.on_digest(instance_id::of("second"), {}, start + milliseconds{200});
        CHECK(tracker.mean_digest_age(start + milliseconds{400}) == milliseconds{300});
        CHECK(tracker.snapshot_of(engine, 0, start).known.others_per_s == 4);
        tracker.on_digest(peer, {}, start + milliseconds{400});
        CHECK(tracker.mean_digest_age(start + milliseconds{400}) == milliseconds{100});
        tracker.expire(start + seconds{10});
        CHECK(tracker.mean_digest_age(start + seconds{10}) == duration{0});
    }
    SUBCASE("suspends an unreachable endpoint for longer each time")
    {
        const auto fail = [&](time_point now)
        {
            tracker.on_started(engine);
            tracker.on_finished(engine, health_outcome::unreachable, now);
        };
        fail(start);
        CHECK(tracker.snapshot_of(engine, 0, start + milliseconds{399}).suspended);
        CHECK_FALSE(tracker.snapshot_of(engine, 0, start + milliseconds{400}).suspended);
        fail(start + seconds{1});
        CHECK(tracker.snapshot_of(engine, 0, start + milliseconds{1799}).suspended);

        SUBCASE("until it answers")
        {
            tracker.on_started(engine);
            tracker.on_finished(engine, health_outcome::answered, start + milliseconds{1100});
            CHECK_FALSE(tracker.snapshot_of(engine, 0, start + milliseconds{1200}).suspended);
        }
    }
    SUBCASE("spaces requests to a cold endpoint, also after its record expires")
    {
        CHECK(tracker.try_admit_cold(engine, seconds{10}, seconds{0}, start));
        CHECK_FALSE(tracker.try_admit_cold(engine, seconds{10}, seconds{0}, start + seconds{9}));
        // Dropping the idle record would lose the time of the last request, and the next one would
        // be sent too soon.
        tracker.expire(start + seconds{8});
        CHECK_FALSE(tracker.try_admit_cold(engine, seconds{10}, seconds{0}, start + seconds{9}));
        CHECK(tracker.try_admit_cold(engine, seconds{10}, seconds{0}, start + seconds{10}));

        SUBCASE("and delays the first request when it is cold again later")
        {
            const auto later = start + seconds{100};
            CHECK_FALSE(tracker.try_admit_cold(engine, seconds{10}, seconds{4}, later));
            CHECK_FALSE(
                tracker.try_admit_cold(engine, seconds{10}, seconds{4}, later + seconds{3}));
            CHECK(tracker.try_admit_cold(engine, seconds{10}, seconds{4}, later + seconds{4}));
        }
    }
}

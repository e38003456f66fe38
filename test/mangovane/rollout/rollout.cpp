// Guards against a bad version that gets more of the traffic than its share or gets it for too
// long, and against a sound version that is given up because of trouble that it does not cause.
#include "rollout_models.hpp"

#include <doctest/doctest.h>

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr milliseconds duration_of_order{40000};

} // namespace

TEST_CASE("a sound version")
{
    SUBCASE("takes all traffic before the deadline")
    {
        rollout_fleet fleet{10, duration_of_order, usual};
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
        REQUIRE(fleet.done_at());
        CHECK(*fleet.done_at() < fleet.deadline());
    }
    SUBCASE("gets no more than the permitted share until all traffic moves")
    {
        rollout_fleet fleet{10, duration_of_order, usual};
        fleet.play_until(share_schedule::full_from);
        const double planned =
            share_schedule::planned_exposure * rollout_fleet::policy.canary_share;
        const auto expected =
            static_cast<double>(fleet.requests()) / share_schedule::full_from * planned;
        CHECK(static_cast<double>(fleet.ordered_requests()) <= expected);
        CHECK(fleet.ordered_requests() != 0);
    }
    SUBCASE("is completed although the whole service fails at times")
    {
        rollout_fleet fleet{10, duration_of_order,
                            [](const response_context& it)
                            {
                                const bool incident = it.fraction > 0.2 && it.fraction < 0.4;
                                return incident ? failing(it) : usual(it);
                            }};
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
    }
    SUBCASE("is completed although the whole service is slow at times")
    {
        rollout_fleet fleet{10, duration_of_order,
                            [](const response_context& it)
                            {
                                const bool incident = it.fraction > 0.1 && it.fraction < 0.3;
                                return incident ? slow(it) : usual(it);
                            }};
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
    }
    SUBCASE("is completed with few requests")
    {
        rollout_fleet fleet{2, duration_of_order, usual};
        fleet.requests_per_step = 1;
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
    }
    SUBCASE("is completed within a short duration")
    {
        rollout_fleet fleet{40, milliseconds{12000}, usual};
        fleet.requests_per_step = 1;
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
    }
    SUBCASE("gets shares within the tolerance where many requests arrive in a short duration")
    {
        constexpr milliseconds short_duration{12000};
        constexpr double requests_per_second = 600;
        rollout_fleet fleet{60, short_duration, usual};
        fleet.requests_per_step = 1;
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
        // Instances know of the responses of the others with a delay.
        const double largest =
            1.1 * share_schedule::largest_share(rollout_fleet::policy, requests_per_second,
                                                short_duration);
        CHECK(largest < 0.15);
        for (const auto& it : fleet.events())
        {
            CAPTURE(it.share);
            CHECK((it.share == 1 || it.share <= largest));
        }
    }
    SUBCASE("whose endpoints never come is rolled back while there is time")
    {
        rollout_fleet fleet{4, duration_of_order, usual};
        fleet.play_until(0.01);
        fleet.ordered_endpoints = 0;
        rollout_surroundings around{0, 10, {}};
        auto& it = fleet.instance(0);
        const auto late = rollout_fleet::start +
                          std::chrono::duration_cast<milliseconds>(duration_of_order * 0.76);
        const auto event = it.tick(around, late);
        REQUIRE(event);
        CHECK(event->state == rollout_state::rolled_back);
        CHECK(event->reason == rollout_reason::no_endpoint);
    }
}

TEST_CASE("a bad version is rolled back within its share and time")
{
    SUBCASE("if it fails from the start")
    {
        rollout_fleet fleet{10, duration_of_order, [](const response_context& it) {
                                return is_ordered(it) ? failing(it) : usual(it);
                            }};
        check_bad_version(fleet);
        CHECK(fleet.events().front().reason == rollout_reason::failures);
    }
    SUBCASE("if it is slow from the start")
    {
        rollout_fleet fleet{10, duration_of_order, [](const response_context& it) {
                                return is_ordered(it) ? slow(it) : usual(it);
                            }};
        check_bad_version(fleet);
    }
    SUBCASE("if it turns bad later")
    {
        rollout_fleet fleet{10, duration_of_order, [](const response_context& it) {
                                return is_ordered(it) && it.fraction > 0.4 ? failing(it)
                                                                           : usual(it);
                            }};
        check_bad_version(fleet);
    }
    SUBCASE("if it is bad under load only")
    {
        rollout_fleet fleet{10, duration_of_order, [](const response_context& it) {
                                return is_ordered(it) && it.share >= 0.3 ? failing(it) : usual(it);
                            }};
        check_bad_version(fleet);
    }
    SUBCASE("if it is bad on one route only")
    {
        rollout_fleet fleet{10, duration_of_order, [](const response_context& it) {
                                return is_ordered(it) && it.route == 2 ? failing(it) : usual(it);
                            }};
        check_bad_version(fleet);
    }
    SUBCASE("in a fleet in which each instance sees few of its responses")
    {
        rollout_fleet fleet{60, milliseconds{12000}, [](const response_context& it) {
                                return is_ordered(it) ? failing(it) : usual(it);
                            }};
        fleet.requests_per_step = 1;
        check_bad_version(fleet);
    }
}

TEST_CASE("a fleet whose instances are cut off from each other")
{
    SUBCASE("keeps a bad version within its share on both sides, and agrees after it")
    {
        rollout_fleet fleet{10, duration_of_order, [](const response_context& it) {
                                return is_ordered(it) && it.fraction > 0.1 ? failing(it)
                                                                           : usual(it);
                            }};
        fleet.cut_before = 2;
        fleet.play_until(0.5);
        fleet.cut_before = 0;
        check_bad_version(fleet);
    }
    SUBCASE("leaves an instance that hears nobody at the canary share")
    {
        rollout_fleet fleet{10, duration_of_order, usual};
        fleet.cut_before = 1;
        fleet.requests_per_step = 1;
        fleet.play_until(0.9);
        CHECK(fleet.instance(0).state() == rollout_state::running);
        CHECK(fleet.instance(0).share() <= rollout_fleet::policy.canary_share);
    }
}

TEST_CASE("the end of a rollout")
{
    rollout_fleet fleet{3, duration_of_order, usual};
    auto& it = fleet.instance(0);

    SUBCASE("is final: a report of the other end changes nothing")
    {
        CHECK(it.on_stored(rollout_state::done, fleet.deadline()));
        auto report = fleet.instance(1).report();
        report.state = rollout_state::rolled_back;
        CHECK_FALSE(it.on_report(instance_id{2}, report, rollout_fleet::start));
        CHECK(it.state() == rollout_state::done);
        CHECK(it.share() == 1);
    }
    SUBCASE("that is stored as done overrules a verdict that came too late")
    {
        auto report = fleet.instance(1).report();
        report.state = rollout_state::rolled_back;
        CHECK(it.on_report(instance_id{2}, report, rollout_fleet::start));
        CHECK(it.on_stored(rollout_state::done, fleet.deadline()));
        CHECK(it.share() == 1);
    }
    SUBCASE("is not reported for another order")
    {
        auto report = fleet.instance(1).report();
        report.state = rollout_state::rolled_back;
        report.order = {0, 6};
        CHECK_FALSE(it.on_report(instance_id{2}, report, rollout_fleet::start));
        CHECK(it.state() == rollout_state::running);
    }
    SUBCASE("waits for requests that run at the version in force, but not past the deadline")
    {
        it.on_started(version_side::current);
        fleet.play_until(0.9);
        CHECK_FALSE(fleet.done_at());
        fleet.play_until(1);
        REQUIRE(fleet.done_at());
        CHECK(*fleet.done_at() < fleet.deadline());
    }
}

TEST_CASE("a chat keeps its version while the share is the same")
{
    rollout_fleet fleet{1, duration_of_order, usual};
    auto& it = fleet.instance(0);
    std::vector<version_side> first;
    constexpr std::uint64_t chats = 2000;
    for (std::uint64_t key = 0; key != chats; ++key)
    {
        first.push_back(it.choose_side(key, false));
    }
    std::uint64_t changed = 0;
    for (std::uint64_t key = 0; key != chats; ++key)
    {
        changed += it.choose_side(key, false) == first[key] ? 0 : 1;
    }
    CHECK(changed <= chats / 50);

    SUBCASE("and a request that is sent again stays with the version in force")
    {
        for (std::uint64_t key = 0; key != chats; ++key)
        {
            CHECK(it.choose_side(key, true) == version_side::current);
        }
    }
}

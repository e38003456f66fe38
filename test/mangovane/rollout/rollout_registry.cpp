// Guards against requests at versions that no operator has allowed, and against a rollout that is
// completed while requests still run at the old version.
#include "mangovane/rollout/rollout_registry.hpp"
#include "mangovane/rollout/rollout_status.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{1000}};
const service_id service = service_id::of("huvo");
const rollout_policy policy{0.1, 50, milliseconds{5000}};
constexpr milliseconds duration_of_order{12'000};
const instance_id peer{7};

rollout_order order_to(const std::string& version, std::uint64_t revision)
{
    return {service, "huvo", version, {0, revision}, duration_of_order};
}

rollout_report report_of(std::uint64_t revision, rollout_state state)
{
    rollout_report result;
    result.service = service;
    result.order = {0, revision};
    result.version = "v2";
    result.state = state;
    result.deadline = start + duration_of_order;
    return result;
}

version_attempt attempt_at(const std::string& version)
{
    return {service, version, endpoint_id{1}, 5};
}

/// Versions in the first set for a request.
std::vector<std::string> first_choice(rollout_registry& registry, time_point now)
{
    return registry.choose(service, 1, true, now).front().versions;
}

using names = std::vector<std::string>;

} // namespace

TEST_CASE("without rollouts in the settings, endpoints of any version are alike")
{
    rollout_registry registry{rollout_policy{}};
    registry.observe(service, {{"v1", 3}, {"v2", 1}}, start);
    registry.set_orders({order_to("v2", 1)}, start);
    registry.on_report(peer, report_of(1, rollout_state::rolled_back), start);
    registry.on_started(attempt_at("v1"));

    CHECK(registry.choose(service, 1, false, start) == version_choice{{true, {}}});
    CHECK(registry.running().empty());
    CHECK(registry.take_due_reports(true, start).empty());
    CHECK(registry.summaries().empty());
}

TEST_CASE("the versions of a service")
{
    rollout_registry registry{policy};
    registry.observe(service, {{"v1", 3}}, start);
    REQUIRE(first_choice(registry, start) == names{"v1"});

    SUBCASE("of which one appears without an order (guards against a start that runs ahead of its "
            "order)")
    {
        registry.observe(service, {{"v1", 3}, {"v2", 9}}, start);
        const version_choice held{{false, {"v1"}}, {false, {"v2"}}};
        CHECK(registry.choose(service, 1, false, start + milliseconds{2900}) == held);

        SUBCASE("count as allowed after the hold")
        {
            CHECK(first_choice(registry, start + milliseconds{3000}) == names{"v1", "v2"});
        }
        SUBCASE("are held anew after an absence")
        {
            registry.observe(service, {{"v1", 3}}, start + milliseconds{2900});
            registry.observe(service, {{"v1", 3}, {"v2", 9}}, start + milliseconds{3000});
            CHECK(first_choice(registry, start + milliseconds{5900}) == names{"v1"});
        }
        SUBCASE("stay apart while an order is running, however long ago the other appeared")
        {
            registry.observe(service, {{"v1", 3}, {"v2", 9}, {"v3", 1}}, start);
            registry.set_orders({order_to("v2", 1)}, start);
            const version_choice old_only{{false, {"v1"}}};
            CHECK(registry.choose(service, 1, true, start + seconds{9}) == old_only);
        }
    }

    SUBCASE("when an order runs")
    {
        registry.observe(service, {{"v1", 3}, {"v2", 9}}, start);
        registry.set_orders({order_to("v2", 1)}, start);
        CHECK(first_choice(registry, start) == names{"v1"});

        SUBCASE("and is done, the old version is not used until another order")
        {
            registry.on_stored(service, {0, 1}, rollout_state::done, start, start);
            const version_choice new_only{{false, {"v2"}}};
            CHECK(registry.choose(service, 1, true, start + seconds{60}) == new_only);
            CHECK(registry.take_log().back().event.reason == rollout_reason::stored_status);

            registry.set_orders({order_to("v1", 2)}, start);
            CHECK(registry.running().size() == 1);
            registry.on_report(peer, report_of(1, rollout_state::rolled_back), start);
            CHECK(registry.running().size() == 1);
        }
        SUBCASE("and is rolled back by another instance, the new version is not used any more")
        {
            registry.on_report(peer, report_of(1, rollout_state::rolled_back), start);
            const version_choice old_only{{false, {"v1"}}};
            CHECK(registry.choose(service, 1, true, start + seconds{60}) == old_only);
            CHECK(registry.running().empty());
        }
        SUBCASE("and is removed, the traffic returns to the version in force")
        {
            registry.set_orders({}, start);
            CHECK(first_choice(registry, start + seconds{60}) == names{"v1"});
            CHECK(registry.summaries().empty());
        }
        SUBCASE("and a newer one replaces it")
        {
            registry.set_orders({order_to("v3", 2)}, start);
            CHECK(registry.running().front().version == "v3");
            registry.set_orders({}, start);
            CHECK(first_choice(registry, start + seconds{60}) == names{"v1"});
        }
    }

    SUBCASE("are in force already when the order comes")
    {
        registry.set_orders({order_to("v1", 1)}, start);
        CHECK(registry.running().empty());
        CHECK(registry.take_log().front().event.reason == rollout_reason::in_force);
        CHECK(first_choice(registry, start) == names{"v1"});
    }
}

TEST_CASE("an instance that starts during a rollout takes the other version as the one in force")
{
    rollout_registry registry{policy};
    SUBCASE("when it learns of the endpoints first")
    {
        registry.observe(service, {{"v1", 3}, {"v2", 9}}, start);
        registry.set_orders({order_to("v2", 1)}, start);
    }
    SUBCASE("when it learns of the order first")
    {
        registry.set_orders({order_to("v2", 1)}, start);
        registry.observe(service, {{"v1", 3}, {"v2", 9}}, start);
    }
    CHECK(first_choice(registry, start) == names{"v1"});
}

TEST_CASE("a rollout is completed only after the requests that were sent before its order")
{
    rollout_registry registry{policy};
    registry.observe(service, {{"v1", 3}, {"v2", 3}}, start);
    registry.on_started(attempt_at("v1"));
    registry.set_orders({order_to("v2", 1)}, start);
    const auto running_at_old = [&](time_point now)
    { return registry.take_due_reports(true, now).at(0).running_at_current; };

    CHECK(running_at_old(start) == 1);
    registry.on_started(attempt_at("v2"));
    registry.on_started(attempt_at("v1"));
    CHECK(running_at_old(start + seconds{1}) == 2);
    registry.on_ended(attempt_at("v1"));
    registry.on_ended(attempt_at("v1"));
    registry.on_ended(attempt_at("v1"));
    CHECK(running_at_old(start + seconds{2}) == 0);
}

TEST_CASE("the summary of a rollout counts the responses of both sides over all instances")
{
    rollout_registry registry{policy};
    registry.observe(service, {{"v1", 3}, {"v2", 3}}, start);
    registry.set_orders({order_to("v2", 1)}, start);
    constexpr std::uint32_t usual_responses = 30;
    for (std::uint32_t n = 0; n != usual_responses; ++n)
    {
        registry.on_response(attempt_at("v1"), {false, milliseconds{10}});
    }
    registry.on_response(attempt_at("v2"), {false, milliseconds{10}});
    registry.on_response(attempt_at("v2"), {false, milliseconds{100}});
    registry.on_response(attempt_at("v2"), {true, milliseconds{0}});

    auto report = report_of(1, rollout_state::running);
    report.routes.resize(1);
    report.routes[0].route = 6;
    report.routes[0].current.failed = 2;
    registry.on_report(peer, report, start);
    registry.tick(service, {1, 1, {peer}}, start + milliseconds{100});

    const auto summary = registry.summaries().at(0);
    CHECK(summary.current == response_counts{usual_responses, 2, 0});
    CHECK(summary.ordered == response_counts{2, 1, 1});
}

TEST_CASE("an order that appears again after the store has come back older")
{
    rollout_registry registry{policy};
    registry.observe(service, {{"v1", 3}, {"v2", 3}}, start);
    registry.set_orders({order_to("v2", 40)}, start);
    auto again = order_to("v2", 12);
    again.revision.era = 1;
    const auto later = start + seconds{3};

    SUBCASE("does not move the deadline of a rollout that is running")
    {
        registry.set_orders({again}, later);
        CHECK(registry.running().size() == 1);
        CHECK(registry.summaries().at(0).deadline == start + duration_of_order);
    }
    SUBCASE("does not start a rollout over that was rolled back, and its end is written again")
    {
        registry.on_report(peer, report_of(40, rollout_state::rolled_back), start);
        registry.set_orders({again}, later);
        CHECK(registry.running().empty());
        CHECK(first_choice(registry, later) == names{"v1"});

        const rollout_rows lost;
        const auto got = decide_status(registry.summaries().at(0), lost, {seconds{9}, later});
        REQUIRE(got.write);
        CHECK(got.write->status.state == rollout_state::rolled_back);
    }
    SUBCASE("does not start a rollout over that was done")
    {
        registry.on_stored(service, {0, 40}, rollout_state::done, start, start);
        registry.set_orders({again}, later);
        CHECK(registry.running().empty());
        CHECK(first_choice(registry, later) == names{"v2"});
    }
    SUBCASE("with another version is a new order")
    {
        again.version = "v3";
        registry.set_orders({again}, later);
        REQUIRE(registry.running().size() == 1);
        CHECK(registry.running().front().version == "v3");
    }
}

TEST_CASE("reports are sent")
{
    rollout_registry registry{policy};
    registry.observe(service, {{"v1", 3}, {"v2", 3}}, start);
    registry.set_orders({order_to("v2", 1)}, start);
    REQUIRE(registry.take_due_reports(true, start).size() == 1);
    REQUIRE(registry.take_due_reports(false, start).size() == 1);
    const auto later = start + milliseconds{500};

    SUBCASE("each 500 ms in the own domain and each second to the others")
    {
        CHECK(registry.take_due_reports(true, later - milliseconds{1}).empty());
        CHECK(registry.take_due_reports(true, later).size() == 1);
        CHECK(registry.take_due_reports(false, later).empty());
        CHECK(registry.take_due_reports(false, start + seconds{1}).size() == 1);
    }
    SUBCASE("at once on a verdict, and for 10 s after it")
    {
        const auto end = start + milliseconds{100};
        registry.on_report(peer, report_of(1, rollout_state::rolled_back), end);
        CHECK(registry.take_due_reports(false, end).at(0).state == rollout_state::rolled_back);
        CHECK(registry.take_due_reports(false, end + milliseconds{9900}).size() == 1);
        CHECK(registry.take_due_reports(false, end + seconds{10}).empty());

        SUBCASE("and again to an instance that has missed it")
        {
            registry.on_report(peer, report_of(1, rollout_state::running), end + seconds{30});
            CHECK(registry.take_due_reports(false, end + seconds{30}).size() == 1);
        }
    }
}

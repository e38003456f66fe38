// Guards against a bad version that goes unnoticed because of how its faults show, or because of
// what each instance knows, and against a sound version that is given up for faults of the service.
#include "rollout_models.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr milliseconds duration_of_order{40000};

response_model usual_but(simulated_response (*bad)(const response_context&),
                         bool (*is_bad)(const response_context&))
{
    return [=](const response_context& it)
    { return is_ordered(it) && is_bad(it) ? bad(it) : usual(it); };
}

bool always(const response_context&)
{
    return true;
}

bool later(const response_context& it)
{
    return it.fraction > 0.4;
}

bool under_load(const response_context& it)
{
    return it.share >= 0.3;
}

bool on_one_route(const response_context& it)
{
    return it.route == 2;
}

bool has_reason(const rollout_fleet& fleet, rollout_reason reason)
{
    const auto& events = fleet.events();
    return std::any_of(events.begin(), events.end(),
                       [&](const rollout_event& it) { return it.reason == reason; });
}

} // namespace

TEST_CASE("a version that is slow is rolled back for its slowness")
{
    SUBCASE("if it is slow from the start")
    {
        rollout_fleet fleet{10, duration_of_order, usual_but(slow, always)};
        check_bad_version(fleet);
        CHECK(has_reason(fleet, rollout_reason::slowness));
    }
    SUBCASE("if it becomes slow later")
    {
        rollout_fleet fleet{10, duration_of_order, usual_but(slow, later)};
        check_bad_version(fleet);
        CHECK(has_reason(fleet, rollout_reason::slowness));
    }
    SUBCASE("if it is slow under load only")
    {
        rollout_fleet fleet{10, duration_of_order, usual_but(slow, under_load)};
        check_bad_version(fleet);
        CHECK(has_reason(fleet, rollout_reason::slowness));
    }
    SUBCASE("if it is slow on one route only")
    {
        rollout_fleet fleet{10, duration_of_order, usual_but(slow, on_one_route)};
        check_bad_version(fleet);
        CHECK(has_reason(fleet, rollout_reason::slowness));
    }
}

TEST_CASE("a service that is as bad at both versions is no evidence")
{
    SUBCASE("if it fails often")
    {
        rollout_fleet fleet{10, duration_of_order, failing};
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
    }
    SUBCASE("if it fails more often than not")
    {
        rollout_fleet fleet{10, duration_of_order,
                            [](const response_context& it)
                            {
                                auto result = usual(it);
                                result.failed = it.random < 0.7;
                                return result;
                            }};
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
    }
    SUBCASE("if it is slow")
    {
        rollout_fleet fleet{10, duration_of_order, slow};
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
    }
}

TEST_CASE("a service with few requests")
{
    SUBCASE("keeps a version that fails within its bounds")
    {
        rollout_fleet fleet{2, duration_of_order, usual_but(failing, always)};
        fleet.requests_per_step = 1;
        check_bad_version(fleet);
    }
    SUBCASE("keeps a version that is slow within its bounds")
    {
        rollout_fleet fleet{2, duration_of_order, usual_but(slow, always)};
        fleet.requests_per_step = 1;
        check_bad_version(fleet);
    }
    SUBCASE("without any does not get a version that nothing is known of")
    {
        rollout_fleet fleet{2, duration_of_order, usual};
        fleet.requests_per_step = 0;
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::rolled_back));
        CHECK(has_reason(fleet, rollout_reason::no_evidence));
    }
}

TEST_CASE("instances that each see another part of the requests")
{
    SUBCASE("find a version that is bad on a route that few of them serve")
    {
        rollout_fleet fleet{9, duration_of_order, usual_but(failing, on_one_route)};
        fleet.own_routes = true;
        check_bad_version(fleet);
    }
    SUBCASE("find a version that is bad for the requests of one of them")
    {
        rollout_fleet fleet{
            9, duration_of_order,
            usual_but(failing, [](const response_context& it) { return it.instance == 0; })};
        fleet.own_routes = true;
        fleet.routes = 9;
        check_bad_version(fleet);
    }
    SUBCASE("complete a sound version")
    {
        rollout_fleet fleet{9, duration_of_order, usual};
        fleet.own_routes = true;
        fleet.play_until(1);
        CHECK(fleet.all(rollout_state::done));
    }
}

TEST_CASE("instances that hear of each other late")
{
    const auto delays = {milliseconds{500}, milliseconds{1000}, milliseconds{2000}};

    SUBCASE("keep a version that is bad from the start within its bounds")
    {
        for (const auto delay : delays)
        {
            CAPTURE(delay.count());
            rollout_fleet fleet{10, duration_of_order, usual_but(failing, always)};
            fleet.report_delay = delay;
            check_bad_version(fleet);
        }
    }
    SUBCASE("keep a version that becomes bad later within its bounds")
    {
        for (const auto delay : delays)
        {
            CAPTURE(delay.count());
            rollout_fleet fleet{10, duration_of_order, usual_but(failing, later)};
            fleet.report_delay = delay;
            check_bad_version(fleet);
        }
    }
    SUBCASE("complete a sound version before the deadline")
    {
        for (const auto delay : delays)
        {
            CAPTURE(delay.count());
            rollout_fleet fleet{10, duration_of_order, usual};
            fleet.report_delay = delay;
            fleet.play_until(1);
            CHECK(fleet.all(rollout_state::done));
            REQUIRE(fleet.done_at());
            CHECK(*fleet.done_at() < fleet.deadline());
        }
    }
}

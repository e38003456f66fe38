// Guards against stated bounds of a rollout that no decision keeps: a rollback time that reports
// are too slow for, and steps in which a version that turns bad exceeds its requests.
#include "mangovane/rollout/rollout_policy.hpp"

#include <doctest/doctest.h>

#include "mangovane/rollout/rollout_registry.hpp"
#include "mangovane/rollout/share_schedule.hpp"

using namespace mangovane;

namespace
{

rollout_policy policy_with(milliseconds rollback_time)
{
    return {0.1, 50, rollback_time};
}

constexpr seconds duration_of_order{40};

double largest_share(const rollout_policy& policy, double requests_per_second)
{
    return share_schedule::largest_share(policy, requests_per_second, duration_of_order);
}

} // namespace

TEST_CASE("the rollback time sets the pace of the reports")
{
    SUBCASE("to the usual one if it is 5 s or longer, or not stated")
    {
        for (const auto time : {milliseconds{0}, milliseconds{5000}, milliseconds{60'000}})
        {
            CAPTURE(time.count());
            CHECK(policy_with(time).local_report_period() == milliseconds{500});
            CHECK(policy_with(time).remote_report_period() == milliseconds{1000});
        }
    }
    SUBCASE("to a faster one if it is shorter")
    {
        CHECK(policy_with(milliseconds{2000}).local_report_period() == milliseconds{200});
        CHECK(policy_with(milliseconds{2000}).remote_report_period() == milliseconds{400});
    }
    SUBCASE("so that a verdict spreads within it, whatever the time, down to the shortest")
    {
        for (auto time = rollout_policy::min_rollback_time; time <= seconds{10};
             time += milliseconds{100})
        {
            CAPTURE(time.count());
            CHECK(policy_with(time).spread_time() <= time / 2);
        }
    }
    SUBCASE("and the registry sends them at that pace")
    {
        const time_point start{seconds{1000}};
        const auto service = service_id::of("huvo");
        rollout_registry registry{policy_with(milliseconds{2000})};
        registry.observe(service, {{"v1", 3}, {"v2", 3}}, start);
        registry.set_orders({{service, "huvo", "v2", {0, 1}, duration_of_order}}, start);
        REQUIRE(registry.take_due_reports(false, start).size() == 1);
        CHECK(registry.take_due_reports(false, start + milliseconds{399}).empty());
        CHECK(registry.take_due_reports(false, start + milliseconds{400}).size() == 1);
    }
}

TEST_CASE("the tolerance limits the share of a step")
{
    const auto policy = policy_with(milliseconds{5000});
    constexpr double few = 10;
    constexpr double many = 2000;

    SUBCASE("not where few requests arrive while a verdict spreads")
    {
        CHECK(largest_share(policy, 0) == 1);
        CHECK(largest_share(policy, few) == 1);
    }
    SUBCASE("so that those requests stay within what is not planned")
    {
        const std::chrono::duration<double> spread = policy.spread_time();
        const double unplanned = (1 - share_schedule::planned_exposure) * policy.canary_share *
                                     many * static_cast<double>(duration_of_order.count()) +
                                 policy.canary_tolerance;
        const double share = largest_share(policy, many);
        CHECK(share < 1);
        CHECK(share * many * spread.count() == doctest::Approx(unplanned));
    }
    SUBCASE("more strictly if it is lower, or if the verdict takes longer")
    {
        auto strict = policy;
        strict.canary_tolerance = 0;
        CHECK(largest_share(strict, many) < largest_share(policy, many));
        CHECK(largest_share(policy, many) < largest_share(policy_with(milliseconds{2000}), many));
    }
}

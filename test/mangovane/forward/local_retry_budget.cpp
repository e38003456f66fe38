// Tests of the local retry budget and of the fleet size by which it is divided. Instances do not
// coordinate, so the sum of their shares must stay within the fleet-wide budget whatever each of
// them sees.
#include <vector>

#include <doctest/doctest.h>

#include "mangovane/forward/fleet_size.hpp"
#include "mangovane/forward/forward_fixture.hpp"
#include "mangovane/forward/local_retry_budget.hpp"

using namespace mangovane;
using test::start;

TEST_CASE("the local retry budget")
{
    const retry_budget_policy policy{0.2, 104, seconds{10}};
    const auto service = service_id::of("dictamen");
    constexpr std::uint32_t instances = 12;

    SUBCASE("keeps the sum over all instances within the fleet-wide budget")
    {
        std::vector<std::unique_ptr<local_retry_budget>> fleet;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
        for (std::uint32_t n = 0; n != instances; ++n)
        {
            fleet.push_back(std::make_unique<local_retry_budget>(policy));
            // Traffic differs between instances, and one has none; all of them retry as often as
            // they can.
            for (std::uint32_t k = 0; k != 20 * n; ++k)
            {
                fleet.back()->on_request(service, start);
                ++requests;
            }
            for (int k = 0; k != 1000; ++k)
            {
                retries += fleet.back()->try_retry(service, instances, start) ? 1 : 0;
            }
        }
        CHECK(retries <= policy.ratio * requests + policy.slack);
        CHECK(retries > 0);
    }
    SUBCASE("of one service is separate from that of another")
    {
        local_retry_budget budget{policy};
        for (int n = 0; n != 100; ++n)
        {
            (void)budget.try_retry(service, instances, start);
        }
        CHECK_FALSE(budget.try_retry(service, instances, start));
        CHECK(budget.try_retry(service_id::of("ventanilla"), instances, start));
    }
    SUBCASE("is available again when the window has passed")
    {
        local_retry_budget budget{policy};
        while (budget.try_retry(service, instances, start))
        {}
        CHECK_FALSE(budget.try_retry(service, instances, start + seconds{8}));
        CHECK(budget.try_retry(service, instances, start + seconds{11}));
    }
}

TEST_CASE("the size of the fleet")
{
    fleet_size size{start};
    CHECK(size.value() == fleet_size::min_size);
    size.record(18, start);
    CHECK(size.value() == 18);

    SUBCASE("does not drop when members become unreachable: they still reach the endpoints")
    {
        size.record(6, start + seconds{5});
        size.record(6, start + fleet_size::period);
        CHECK(size.value() == 18);

        SUBCASE("until they have been gone for two periods")
        {
            size.record(6, start + 2 * fleet_size::period);
            size.record(6, start + 3 * fleet_size::period);
            CHECK(size.value() == fleet_size::min_size);
        }
    }
}

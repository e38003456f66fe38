// Stateful fuzzing: random calls, faults and operator changes must not violate a guarantee that the
// oracle of the fake fleet checks. RC_PARAMS sets the seed and the number of cases; docs/testing.md
// describes the longer run.
#include <doctest/doctest.h>

#include "fleet_commands.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

/// Parameters of the search for an injected fault.
rc::detail::TestParams search_params(std::uint64_t seed)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 200;
    params.maxSize = 100;
    params.disableShrinking = true;
    return params;
}

/// Whether the fuzzer detects a violation with this fault.
bool finds(injected_fault fault)
{
    const auto result = rc::detail::checkTestable(
        [fault]
        {
            fleet_options options;
            options.fault = fault;
            fleet target{options};
            rc::state::check(fleet_model{}, target, &arbitrary_command);
        },
        rc::detail::TestMetadata{}, search_params(7));
    return result.is<rc::detail::FailureResult>();
}

} // namespace

TEST_CASE("a fleet under faults of every kind")
{
    SUBCASE("violates no guarantee after any step")
    {
        CHECK(rc::check("all guarantees hold",
                        []
                        {
                            fleet_options options;
                            options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
                            fleet target{options};
                            rc::state::check(fleet_model{}, target, &arbitrary_command);
                            target.settle();
                            if (!target.violations().empty())
                            {
                                RC_FAIL(target.violations().front());
                            }
                        }));
    }
}

TEST_CASE("a burst while an endpoint is down")
{
    // The slots of a failed endpoint were counted in the mean load of the others. Found by the
    // fuzzer.
    fleet_options options;
    options.seed = 943;
    fleet target{options};
    target.call(0, false, "key-0");
    target.call(1, false, "key-0");
    target.advance(milliseconds{331});
    target.engine_down(2);
    target.advance(milliseconds{331});
    for (std::size_t n = 0; n != 22; ++n)
    {
        target.call(63 + n, n % 2 == 0, {});
    }
    target.advance(milliseconds{3000});

    SUBCASE("does not raise the load bound of the others")
    {
        CHECK(target.violations() == std::vector<std::string>{});
    }
}

TEST_CASE("the oracle detects each injected fault")
{
    SUBCASE("an owner that ignores the load bound")
    {
        CHECK(finds(injected_fault::ignore_bound));
    }
    SUBCASE("an owner that treats cold endpoints as warm")
    {
        CHECK(finds(injected_fault::ignore_ramp));
    }
    SUBCASE("an instance that ignores a domain taken out")
    {
        CHECK(finds(injected_fault::ignore_domain_out));
    }
    SUBCASE("a response that is delivered to another caller")
    {
        CHECK(finds(injected_fault::swap_responses));
    }
    SUBCASE("a lost response that is reported as 'not run'")
    {
        CHECK(finds(injected_fault::false_not_run));
    }
    SUBCASE("a claim that two attempts acquire")
    {
        CHECK(finds(injected_fault::duplicate_claim));
    }
    SUBCASE("a leaving endpoint that still receives work")
    {
        CHECK(finds(injected_fault::ignore_leaving));
    }
    SUBCASE("a shutdown that aborts requests")
    {
        CHECK(finds(injected_fault::abort_on_shutdown));
    }
    SUBCASE("settings that return to an older version")
    {
        CHECK(finds(injected_fault::stale_settings));
    }
}

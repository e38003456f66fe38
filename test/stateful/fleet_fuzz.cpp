// Stateful fuzzing of several instances against the oracle of the fake fleet. RC_PARAMS sets seed
// and number of cases; the longer run is documented in docs/testing.md.
#include <doctest/doctest.h>

#include "fleet_commands.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

/// Cases and size of the search for a planted fault; the seed is fixed.
rc::detail::TestParams search_params(std::uint64_t seed)
{
    rc::detail::TestParams params;
    params.seed = seed;
    params.maxSuccess = 200;
    params.maxSize = 100;
    params.disableShrinking = true;
    return params;
}

/// Whether the fuzzer finds a violation with this fault.
bool finds(planted_fault fault)
{
    const auto result = rc::detail::checkTestable(
        [fault]
        {
            fleet_options options;
            options.fault = fault;
            fleet world{options};
            rc::state::check(fleet_model{}, world, &arbitrary_command);
        },
        rc::detail::TestMetadata{}, search_params(7));
    return result.is<rc::detail::FailureResult>();
}

} // namespace

TEST_CASE("a fleet under faults of every kind")
{
    SUBCASE("keeps all promises after every step")
    {
        CHECK(rc::check("all promises hold",
                        []
                        {
                            fleet_options options;
                            options.seed = *rc::gen::inRange<std::uint64_t>(1, 1000000);
                            fleet world{options};
                            rc::state::check(fleet_model{}, world, &arbitrary_command);
                            world.settle();
                            if (!world.violations().empty())
                            {
                                RC_FAIL(world.violations().front());
                            }
                        }));
    }
}

TEST_CASE("a burst while an endpoint is down")
{
    // Found by the fuzzer: slots at the endpoint that failed counted for the mean of the others.
    fleet_options options;
    options.seed = 943;
    fleet world{options};
    world.call(0, false, "key-0");
    world.call(1, false, "key-0");
    world.advance(milliseconds{331});
    world.engine_down(2);
    world.advance(milliseconds{331});
    for (std::size_t n = 0; n != 22; ++n)
    {
        world.call(63 + n, n % 2 == 0, {});
    }
    world.advance(milliseconds{3000});

    SUBCASE("does not raise the bound of the others")
    {
        CHECK(world.violations() == std::vector<std::string>{});
    }
}

TEST_CASE("the oracle can fail: it finds each fault that is planted")
{
    SUBCASE("an owner that ignores the load bound")
    {
        CHECK(finds(planted_fault::ignore_bound));
    }
    SUBCASE("an owner that takes cold endpoints for warm")
    {
        CHECK(finds(planted_fault::ignore_ramp));
    }
    SUBCASE("an instance that keeps old settings")
    {
        CHECK(finds(planted_fault::ignore_domain_out));
    }
    SUBCASE("answers given to another caller")
    {
        CHECK(finds(planted_fault::swap_answers));
    }
    SUBCASE("a lost answer told as 'not run'")
    {
        CHECK(finds(planted_fault::lie_not_run));
    }
    SUBCASE("a claim that two attempts win")
    {
        CHECK(finds(planted_fault::claim_twice));
    }
    SUBCASE("an endpoint whose leaving is not seen")
    {
        CHECK(finds(planted_fault::ignore_leaving));
    }
    SUBCASE("a shutdown that cuts requests")
    {
        CHECK(finds(planted_fault::cut_on_shutdown));
    }
    SUBCASE("settings that fall back")
    {
        CHECK(finds(planted_fault::settings_fall));
    }
}

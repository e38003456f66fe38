// Tests of the ramp of a cold endpoint in the ledger, also across a change of owner. Guards against
// a cold endpoint that gets its full load at once, and against a warm one that is throttled after
// each change of owner.
#include "mangovane/ledger/cold_ramp.hpp"

#include <doctest/doctest.h>

#include "mangovane/ledger/ledger_fixture.hpp"

using namespace mangovane;

namespace
{

struct ramp_fixture : ledger_fixture
{
    ramp_fixture()
    {
        policy.ramp_start = 1;
        load = {99, 10};
        ledger = endpoint_ledger{endpoint, policy, now};
    }

    /// Lets one request succeed after a whole step.
    void succeed()
    {
        const auto attempt = ask(make());
        REQUIRE(attempt);
        now += policy.ramp_step;
        release(*attempt);
    }
};

} // namespace

TEST_CASE_FIXTURE(ramp_fixture, "a cold endpoint")
{
    complete_rebuilding();
    report(0, false);
    REQUIRE(ask(make()));
    CHECK_FALSE(ask(make()));
    CHECK(refused() == slot_refusal_reason::cold);
    release(attempt_id{one, 1, 1}, attempt_outcome::cancelled);

    SUBCASE("doubles its slots after each step with a success until it exceeds the load bound")
    {
        report(0, true);
        for (const std::uint32_t expected : {2, 4, 8})
        {
            succeed();
            CHECK(status().ramp == expected);
        }
        succeed();
        CHECK_FALSE(status().cold);

        SUBCASE("and halves its slots after an overload, even though it was warm")
        {
            for (int n = 0; n != 8; ++n)
            {
                REQUIRE(ask(make()));
            }
            release(attempt_id{one, 1, sequence}, attempt_outcome::overloaded);
            CHECK(status().ramp == 4);
        }

        SUBCASE("and restarts the ramp in a new incarnation, or when it reports that it is cold")
        {
            auto other = ledger;
            report(0, true, 2);
            CHECK(status().ramp == 1);
            ledger = other;
            report(0, false);
            CHECK(status().ramp == 1);
        }

        SUBCASE("and restarts the ramp when its first token is late")
        {
            policy.cold_first_token = milliseconds{800};
            const slot_release late{*ask(make()), endpoint, attempt_outcome::succeeded, 900};
            last = ledger.release(one, late, ctx(), now);
            CHECK(status().ramp == 1);
        }
    }

    SUBCASE("gets no more slots before the step ends, or without a success")
    {
        const auto attempt = ask(make());
        now += policy.ramp_step / 2;
        release(*attempt);
        CHECK(status().ramp == 1);
        advance(policy.ramp_step * 10);
        CHECK(status().ramp == 1);
    }
}

TEST_CASE_FIXTURE(ramp_fixture, "a warm endpoint whose owner changes")
{
    SUBCASE("starts the ramp at the slots that its holders renew")
    {
        std::vector<held_slot> slots;
        for (std::uint64_t n = 0; n != 6; ++n)
        {
            slots.push_back({attempt_id{two, 1, n}, now + seconds{30}});
        }
        renew(two, slots);
        CHECK(status().ramp == 6);
    }

    SUBCASE("starts the ramp at its first report, so that it is not throttled after each change")
    {
        report(6);
        CHECK(status().ramp == 6);
    }

    SUBCASE("starts the ramp at its minimum when the first report says that it is cold")
    {
        report(6, false);
        CHECK(status().ramp == 1);
    }
}

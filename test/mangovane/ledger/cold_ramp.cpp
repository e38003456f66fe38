// Tests of cold start: the ramp alone, and in the ledger across owners.
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

    /// One request succeeds after a whole step.
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

    SUBCASE("gets twice the slots after each step with a success, until it passes the bound")
    {
        report(0, true);
        for (const std::uint32_t expected : {2, 4, 8})
        {
            succeed();
            CHECK(status().ramp == expected);
        }
        succeed();
        CHECK_FALSE(status().cold);

        SUBCASE("and gets half after it showed overload, which a warm one can bear no longer")
        {
            for (int n = 0; n != 8; ++n)
            {
                REQUIRE(ask(make()));
            }
            release(attempt_id{one, 1, sequence}, attempt_outcome::overloaded);
            CHECK(status().ramp == 4);
        }

        SUBCASE("and starts again with a new incarnation, or when it reports that it is cold")
        {
            auto other = ledger;
            report(0, true, 2);
            CHECK(status().ramp == 1);
            ledger = other;
            report(0, false);
            CHECK(status().ramp == 1);
        }

        SUBCASE("and starts again when its first token is late")
        {
            policy.cold_first_token = milliseconds{800};
            const slot_release late{*ask(make()), endpoint, attempt_outcome::succeeded, 900};
            last = ledger.release(one, late, ctx(), now);
            CHECK(status().ramp == 1);
        }
    }

    SUBCASE("gets no more slots before the step ends, and none without a success")
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
    SUBCASE("is ramped from the slots that its holders renew")
    {
        std::vector<held_slot> slots;
        for (std::uint64_t n = 0; n != 6; ++n)
        {
            slots.push_back({attempt_id{two, 1, n}, now + seconds{30}});
        }
        renew(two, slots);
        CHECK(status().ramp == 6);
    }

    SUBCASE("is ramped from its first report, so that it is not throttled after each change")
    {
        report(6);
        CHECK(status().ramp == 6);
    }

    SUBCASE("is ramped from the start when its first report says that it is cold")
    {
        report(6, false);
        CHECK(status().ramp == 1);
    }
}

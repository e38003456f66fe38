// Tests of the endpoint ledger under one owner: message races, leases, wait queue and early
// refusal. Guards against slots that are lost or counted twice when messages arrive late, twice or
// out of order.
#include "mangovane/ledger/endpoint_ledger.hpp"

#include <doctest/doctest.h>

#include "mangovane/ledger/ledger_fixture.hpp"

using namespace mangovane;

TEST_CASE_FIXTURE(ledger_fixture, "an endpoint at its load bound")
{
    complete_rebuilding();
    std::vector<attempt_id> held;
    while (const auto attempt = ask(make()))
    {
        held.push_back(*attempt);
    }
    REQUIRE(held.size() == 4);
    CHECK(refused() == slot_refusal_reason::at_bound);
    const auto waiting = make(seconds{5});
    CHECK_FALSE(ask(waiting));
    CHECK(status().queued == 1);

    SUBCASE("grants a slot to a waiting request as soon as one is free")
    {
        release(held[0]);
        CHECK(granted(waiting.attempt));
        CHECK(ledger.in_flight() == 4);
    }

    SUBCASE("grants a slot to a waiting request when the bound rises")
    {
        load.total_in_flight = 4;
        last = ledger.tick(ctx(), now);
        CHECK(granted(waiting.attempt));
    }

    SUBCASE("does not grant a slot to a request that was cancelled while it waited")
    {
        release(waiting.attempt, attempt_outcome::cancelled);
        release(held[0]);
        CHECK(last.empty());
        CHECK(ledger.in_flight() == 3);
    }

    SUBCASE("does not let a request that cannot wait overtake a waiting one")
    {
        load.total_in_flight = 4;
        CHECK(ask(make()));
        CHECK(granted(waiting.attempt));
    }

    SUBCASE(
        "refuses a waiting request with the reason, so that the holder can try another endpoint")
    {
        SUBCASE("when its wait time has passed")
        {
            advance(seconds{5});
            CHECK(refused() == slot_refusal_reason::wait_expired);
        }
        SUBCASE("when the endpoint reports that it is leaving")
        {
            last = ledger.report({endpoint, 1, 4, true, true, now}, ctx(), now);
            CHECK(refused() == slot_refusal_reason::leaving);
        }
        SUBCASE("when the endpoint is drained, or this instance is no longer the owner")
        {
            auto other = ledger;
            last = other.on_ownership_lost();
            CHECK(refused() == slot_refusal_reason::not_owner);
            closed = slot_refusal_reason::drained;
            advance(milliseconds{0});
            CHECK(refused() == slot_refusal_reason::drained);
        }
    }

    SUBCASE("refuses immediately when the expected wait exceeds the deadline")
    {
        now += seconds{4};
        for (const auto& it : held)
        {
            release(it);
            REQUIRE((ask(make()) || status().in_flight == 4));
        }
        auto urgent = make(milliseconds{500});
        urgent.deadline = now + milliseconds{900};
        CHECK_FALSE(ask(urgent));
        CHECK(refused() == slot_refusal_reason::deadline);
    }
}

TEST_CASE_FIXTURE(ledger_fixture, "a new chat")
{
    complete_rebuilding();
    load = {30, 4};
    auto fresh = make();
    fresh.purpose = slot_purpose::new_chat;
    for (int n = 0; n != 8; ++n)
    {
        REQUIRE(ask(make()));
    }

    SUBCASE("is refused above the mean load, where a returning chat still gets a slot")
    {
        CHECK_FALSE(ask(fresh));
        CHECK(ask(make()));
    }

    SUBCASE("does not block a returning chat while it waits")
    {
        fresh.wait_until = now + seconds{1};
        CHECK_FALSE(ask(fresh));
        CHECK(ask(make()));
        CHECK(status().queued == 1);
    }
}

TEST_CASE_FIXTURE(ledger_fixture, "messages that arrive out of order")
{
    complete_rebuilding();
    const auto msg = make(seconds{1});

    SUBCASE("a release before its request prevents the grant: the slot would never be released")
    {
        release(msg.attempt, attempt_outcome::cancelled);
        CHECK_FALSE(ask(msg));
        CHECK(ledger.in_flight() == 0);
        renew(one, {{msg.attempt, msg.deadline}});
        CHECK(ledger.in_flight() == 0);
    }

    SUBCASE("a duplicate request takes only one slot")
    {
        CHECK(ask(msg));
        CHECK(ask(msg));
        CHECK(ledger.in_flight() == 1);
    }

    SUBCASE("a renewal sent before the grant arrived does not end the slot")
    {
        REQUIRE(ask(msg));
        now += milliseconds{100};
        renew(one, {});
        CHECK(ledger.in_flight() == 1);

        SUBCASE("but the next renewal does when the release was lost")
        {
            now += renewal_period;
            renew(one, {});
            CHECK(ledger.in_flight() == 0);
        }
    }

    SUBCASE("a release by another instance does not free the slot")
    {
        REQUIRE(ask(msg));
        last = ledger.release(two, {msg.attempt, endpoint}, ctx(), now);
        CHECK(ledger.in_flight() == 1);
    }
}

TEST_CASE_FIXTURE(ledger_fixture, "a holder that is paused")
{
    complete_rebuilding();
    const auto paused = make();
    REQUIRE(ask(paused));
    advance(slot_lease_time);
    CHECK(status().orphaned == 1);
    CHECK(ledger.in_flight() == 1);

    SUBCASE("keeps its slot when the report shows it, or was sampled before the lease ran out")
    {
        last = ledger.report({endpoint, 1, 0, true, false, now - milliseconds{1}}, ctx(), now);
        CHECK(ledger.in_flight() == 1);
        now += milliseconds{500};
        report(1);
        CHECK(ledger.in_flight() == 1);
    }

    SUBCASE("keeps its slot while requests just granted have not reached the endpoint")
    {
        REQUIRE(ask(make()));
        now += milliseconds{100};
        report(1);
        CHECK(ledger.in_flight() == 2);
    }

    SUBCASE("loses its slot when the endpoint reports fewer requests, or at the deadline")
    {
        auto other = ledger;
        now += milliseconds{500};
        report(0);
        CHECK(ledger.in_flight() == 0);
        now = paused.deadline;
        last = other.tick(ctx(), now);
        CHECK(other.in_flight() == 0);
    }

    SUBCASE("holds the slot again when it resumes and renews")
    {
        const held_slot kept{paused.attempt, paused.deadline};
        renew(one, {kept});
        CHECK(status().orphaned == 0);
        CHECK(ledger.in_flight() == 1);
    }
}

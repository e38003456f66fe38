// Tests of the endpoint ledger under one owner: races of messages, leases, queue and early refusal.
#include "mangovane/ledger/endpoint_ledger.hpp"

#include <doctest/doctest.h>

#include "mangovane/ledger/ledger_fixture.hpp"

using namespace mangovane;

TEST_CASE_FIXTURE(ledger_fixture, "an endpoint at its bound")
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

    SUBCASE("grants to a waiting request as soon as a slot is free")
    {
        release(held[0]);
        CHECK(granted(waiting.attempt));
        CHECK(ledger.in_flight() == 4);
    }

    SUBCASE("grants to a waiting request when the bound rises")
    {
        load.total_in_flight = 4;
        last = ledger.tick(ctx(), now);
        CHECK(granted(waiting.attempt));
    }

    SUBCASE("does not grant to a request that was given back while it waited")
    {
        release(waiting.attempt, attempt_outcome::cancelled);
        release(held[0]);
        CHECK(last.empty());
        CHECK(ledger.in_flight() == 3);
    }

    SUBCASE("does not let a request that cannot wait overtake one that waits")
    {
        load.total_in_flight = 4;
        CHECK(ask(make()));
        CHECK(granted(waiting.attempt));
    }

    SUBCASE("tells a waiting request why it is refused, so that the holder can go elsewhere")
    {
        SUBCASE("when its wait ended")
        {
            advance(seconds{5});
            CHECK(refused() == slot_refusal_reason::wait_expired);
        }
        SUBCASE("when the endpoint leaves by its own report")
        {
            last = ledger.report({endpoint, 1, 4, true, true, now}, ctx(), now);
            CHECK(refused() == slot_refusal_reason::leaving);
        }
        SUBCASE("when the endpoint is drained, or this instance is no longer the owner")
        {
            auto other = ledger;
            last = other.resign();
            CHECK(refused() == slot_refusal_reason::not_owner);
            closed = slot_refusal_reason::drained;
            advance(milliseconds{0});
            CHECK(refused() == slot_refusal_reason::drained);
        }
    }

    SUBCASE("refuses early when the expected wait passes the deadline")
    {
        now += seconds{4};
        for (const auto& it : held)
        {
            release(it);
            REQUIRE((ask(make()) || status().in_flight == 4));
        }
        auto hurried = make(milliseconds{500});
        hurried.deadline = now + milliseconds{900};
        CHECK_FALSE(ask(hurried));
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

    SUBCASE("is refused above the mean, where a returning chat still finds room")
    {
        CHECK_FALSE(ask(fresh));
        CHECK(ask(make()));
    }

    SUBCASE("that waits does not block a returning chat")
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

    SUBCASE("a release before its request: the slot would never be given back")
    {
        release(msg.attempt, attempt_outcome::cancelled);
        CHECK_FALSE(ask(msg));
        CHECK(ledger.in_flight() == 0);
        renew(one, {{msg.attempt, msg.deadline}});
        CHECK(ledger.in_flight() == 0);
    }

    SUBCASE("a request that arrives twice takes one slot")
    {
        CHECK(ask(msg));
        CHECK(ask(msg));
        CHECK(ledger.in_flight() == 1);
    }

    SUBCASE("a renewal that was sent before the grant does not drop the slot")
    {
        REQUIRE(ask(msg));
        now += milliseconds{100};
        renew(one, {});
        CHECK(ledger.in_flight() == 1);

        SUBCASE("but the next one does when the release was lost")
        {
            now += renewal_period;
            renew(one, {});
            CHECK(ledger.in_flight() == 0);
        }
    }

    SUBCASE("a release of another instance does not free the slot")
    {
        REQUIRE(ask(msg));
        last = ledger.release(two, {msg.attempt, endpoint}, ctx(), now);
        CHECK(ledger.in_flight() == 1);
    }
}

TEST_CASE_FIXTURE(ledger_fixture, "a holder that is paused")
{
    complete_rebuilding();
    const auto sleeping = make();
    REQUIRE(ask(sleeping));
    advance(slot_lease_time);
    CHECK(status().orphaned == 1);
    CHECK(ledger.in_flight() == 1);

    SUBCASE("keeps its load when the report shows it, or was sampled before the lease ran out")
    {
        last = ledger.report({endpoint, 1, 0, true, false, now - milliseconds{1}}, ctx(), now);
        CHECK(ledger.in_flight() == 1);
        now += milliseconds{500};
        report(1);
        CHECK(ledger.in_flight() == 1);
    }

    SUBCASE("keeps its load while slots just granted are not yet at the endpoint")
    {
        REQUIRE(ask(make()));
        now += milliseconds{100};
        report(1);
        CHECK(ledger.in_flight() == 2);
    }

    SUBCASE("loses its load when the endpoint shows fewer requests, or at the deadline")
    {
        auto other = ledger;
        now += milliseconds{500};
        report(0);
        CHECK(ledger.in_flight() == 0);
        now = sleeping.deadline;
        last = other.tick(ctx(), now);
        CHECK(other.in_flight() == 0);
    }

    SUBCASE("holds the slot again when it resumes and renews")
    {
        const held_slot kept{sleeping.attempt, sleeping.deadline};
        renew(one, {kept});
        CHECK(status().orphaned == 0);
        CHECK(ledger.in_flight() == 1);
    }
}

// Tests of a change of owner: what a new owner may grant, and the sum over two owners. Guards
// against an overloaded endpoint while some holders still use the previous owner and others already
// the new one.
#include <array>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "mangovane/ledger/ledger_fixture.hpp"

using namespace mangovane;

namespace
{

/// Two holders that switch to the new owner at different times, and their running requests.
struct two_owner_fixture : ledger_fixture
{
    two_owner_fixture()
    {
        load = {79, 10};
        while (slots_at_former() < 10)
        {
            ask_owner(former, 0);
        }
    }

    [[nodiscard]] std::uint32_t slots_at_former() const
    {
        return static_cast<std::uint32_t>(running[0].size() + running[1].size());
    }

    void ask_owner(endpoint_ledger& owner, std::size_t holder)
    {
        const auto msg = make();
        last = owner.request(holder == 0 ? one : two, msg, ctx(), now);
        if (granted(msg.attempt))
        {
            running[holder].push_back({msg.attempt, msg.deadline});
        }
    }

    void finish(endpoint_ledger& owner, std::size_t holder, std::size_t n)
    {
        const auto at = running[holder].begin() + static_cast<std::ptrdiff_t>(n);
        const slot_release msg{at->attempt, endpoint, attempt_outcome::succeeded, 0};
        last = owner.release(holder == 0 ? one : two, msg, ctx(), now);
        running[holder].erase(at);
    }

    void renew(endpoint_ledger& owner, std::size_t holder)
    {
        last = owner.renew(holder == 0 ? one : two, {endpoint, running[holder]}, ctx(), now);
    }

    [[nodiscard]] static endpoint_ledger make_former(ledger_fixture& it)
    {
        endpoint_ledger result{it.endpoint, it.policy, it.now};
        static_cast<void>(result.renew(it.one, {it.endpoint, {}}, it.ctx(), it.now));
        static_cast<void>(result.renew(it.two, {it.endpoint, {}}, it.ctx(), it.now));
        return result;
    }

    endpoint_ledger former{make_former(*this)};
    std::array<std::vector<held_slot>, 2> running;
};

} // namespace

TEST_CASE_FIXTURE(two_owner_fixture, "two owners during a change of view")
{
    SUBCASE("together stay within 1.25 times the bound + 1")
    {
        std::mt19937_64 random{20261204};
        std::uint32_t most = 0;
        for (int round = 0; round != 200; ++round)
        {
            endpoint_ledger successor{endpoint, policy, now};
            std::array<bool, 2> moved{};
            // The last holder switches to the new owner within the lease of its slots.
            for (int n = 0; n != 300; ++n)
            {
                now += milliseconds{10};
                const std::size_t holder = random() % 2;
                auto& owner = moved[holder] ? successor : former;
                random() % 3 != 0 || running[holder].empty()
                    ? ask_owner(owner, holder)
                    : finish(owner, holder, random() % running[holder].size());
                moved[0] = moved[0] || n == 50;
                moved[1] = moved[1] || n == 250;
                if (n % 100 == 99 || (n == 250 && !moved[1]))
                {
                    renew(moved[0] ? successor : former, 0);
                    renew(moved[1] ? successor : former, 1);
                }
                last = former.tick(ctx(), now);
                last = successor.tick(ctx(), now);
                most = std::max(most, slots_at_former());
                REQUIRE(slots_at_former() <= 10 * 1.25 + 1);
            }
            former = std::move(successor);
        }
        CHECK(most > 8);
    }
}

TEST_CASE_FIXTURE(ledger_fixture, "a new owner")
{
    load = {79, 10};

    SUBCASE("grants a quarter of the bound before all instances have renewed")
    {
        while (ask(make()))
        {}
        CHECK(refused() == slot_refusal_reason::rebuilding);
        CHECK(ledger.in_flight() == 3);

        SUBCASE("and the whole bound when all have renewed")
        {
            complete_rebuilding();
            CHECK_FALSE(status().rebuilding);
            CHECK(status().allowed == 10);
        }

        SUBCASE("and the whole bound after one lease, although one instance has not renewed")
        {
            renew(one, {});
            CHECK(status().rebuilding);
            advance(slot_lease_time);
            CHECK_FALSE(status().rebuilding);
        }
    }

    SUBCASE("grants nothing while the endpoint reports a quarter of the bound")
    {
        report(3);
        CHECK_FALSE(ask(make()));
    }

    SUBCASE("counts the slots that a previous owner granted")
    {
        const held_slot old{attempt_id{two, 1, 1}, now + seconds{30}};
        renew(two, {old});
        CHECK(ledger.in_flight() == 1);
        last = ledger.release(two, {old.attempt, endpoint}, ctx(), now);
        CHECK(ledger.in_flight() == 0);
    }

    SUBCASE("grants slots to requests that waited for the end of rebuilding")
    {
        report(3);
        const auto waiting = make(seconds{2});
        CHECK_FALSE(ask(waiting));
        complete_rebuilding();
        CHECK(granted(waiting.attempt));
    }
}

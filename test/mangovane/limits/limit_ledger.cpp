// Tests of rate and concurrency limits: one owner, and the leases of several instances. Guards
// against a limit that is exceeded in sum when the owner changes, or when grants are lost or late.
#include "mangovane/limits/limit_ledger.hpp"

#include <array>
#include <random>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

struct limit_fixture
{
    limit_grant ask(std::uint64_t holder, std::uint32_t tokens, std::uint32_t running)
    {
        return ledger.request(instance_id{holder}, {rule.node, tokens, running}, rule, now);
    }

    /// Sends the next request, if any, and applies the grant without delay.
    void refresh(std::uint64_t holder, limit_lease& lease)
    {
        if (const auto msg = lease.next_request(rule, now))
        {
            lease.on_grant(ledger.request(instance_id{holder}, *msg, rule, now), now);
        }
    }

    time_point now{seconds{1000}};
    limit_rule rule{node_id::of("/ona"), "/ona", 100, 100, 0};
    limit_ledger ledger{now};
};

} // namespace

TEST_CASE_FIXTURE(limit_fixture, "a rate limit")
{
    SUBCASE("grants nothing that a previous owner may already have granted")
    {
        CHECK(ask(1, 100, 0).tokens == 0);
        now += milliseconds{100};
        CHECK(ask(1, 100, 0).tokens == 10);
    }

    SUBCASE("holds over several instances that request more")
    {
        std::uint32_t used = 0;
        std::array<limit_lease, 5> leases;
        for (int n = 0; n != 1000; ++n)
        {
            now += milliseconds{10};
            auto& lease = leases[static_cast<std::size_t>(n) % leases.size()];
            used += lease.try_acquire(rule, now) || lease.try_acquire(rule, now) ? 1 : 0;
            refresh(static_cast<std::uint64_t>(n) % leases.size(), lease);
        }
        CHECK(used <= 1000);
        CHECK(used >= 900);
    }

    SUBCASE("discards unused tokens at the end of their lease")
    {
        now += seconds{1};
        limit_lease lease;
        CHECK_FALSE(lease.try_acquire(rule, now));
        refresh(1, lease);
        CHECK(lease.try_acquire(rule, now));
        refresh(1, lease);
        now += limit_lease_time;
        CHECK_FALSE(lease.try_acquire(rule, now));
    }

    SUBCASE("limits the rate of requests to the owner while it is exhausted")
    {
        limit_lease lease;
        int requests = 0;
        for (int n = 0; n != 100; ++n)
        {
            now += milliseconds{10};
            static_cast<void>(lease.try_acquire(rule, now));
            const auto msg = lease.next_request(rule, now);
            requests += msg ? 1 : 0;
            if (msg)
            {
                lease.on_grant({rule.node, 0, 0, 1000}, now);
            }
        }
        CHECK(requests <= 6);
    }

    SUBCASE("is divided among the instances while the owner is unreachable")
    {
        rule.rate_per_s = 7;
        std::uint32_t used = 0;
        for (std::size_t rank = 0; rank != 5; ++rank)
        {
            limit_lease lease;
            for (const int wait : {0, 500})
            {
                lease.use_local_share(rule, rank, 5, now + milliseconds{wait});
                while (lease.try_acquire(rule, now))
                {
                    ++used;
                }
            }
        }
        CHECK(used == 7);
    }
}

TEST_CASE_FIXTURE(limit_fixture, "a concurrency limit")
{
    rule = {node_id::of("/ona"), "/ona", 0, 0, 10};

    SUBCASE("leases nothing until the leases of a previous owner have expired")
    {
        CHECK(ask(1, 0, 4).concurrency == 0);
        now += limit_lease_time;
        CHECK(ask(1, 0, 4).concurrency == 4);
    }

    SUBCASE("counts a larger lease until it expires, because the smaller grant can be lost")
    {
        now += limit_lease_time;
        CHECK(ask(1, 0, 10).concurrency == 10);
        now += milliseconds{500};
        CHECK(ask(1, 0, 3).concurrency == 3);
        CHECK(ask(2, 0, 9).concurrency == 0);
        now += milliseconds{500};
        CHECK(ask(2, 0, 9).concurrency == 7);
    }

    SUBCASE("holds over instances whose grants are lost, late or in order")
    {
        std::mt19937_64 random{20261204};
        std::array<limit_lease, 4> leases;
        now += limit_lease_time;
        for (int n = 0; n != 20000; ++n)
        {
            now += milliseconds{random() % 40};
            const auto holder = random() % leases.size();
            auto& lease = leases[holder];
            random() % 2 == 0 ? lease.release() : static_cast<void>(lease.try_acquire(rule, now));
            const auto msg = lease.next_request(rule, now);
            if (msg)
            {
                const auto requested_at = now;
                now += milliseconds{random() % 100};
                const auto grant = ledger.request(instance_id{holder}, *msg, rule, now);
                if (random() % 4 != 0)
                {
                    lease.on_grant(grant, requested_at);
                }
            }
            std::uint32_t leased = 0;
            for (auto& it : leases)
            {
                leased += it.concurrency(now);
            }
            REQUIRE(leased <= rule.concurrency);
        }
    }

    SUBCASE("leases the share of an instance again after it stopped requesting")
    {
        now += limit_lease_time;
        CHECK(ask(1, 0, 10).concurrency == 10);
        now += limit_lease_time;
        ledger.expire(now);
        CHECK(ask(2, 0, 10).concurrency == 10);
    }
}

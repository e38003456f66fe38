// Tests of the endpoint health: outlier ejection by failed requests and by failed polls. Guards
// against an endpoint that fails immediately, therefore looks idle, and attracts ever more
// requests.
#include "mangovane/ledger/endpoint_health.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("an endpoint that fails immediately and therefore looks idle")
{
    endpoint_health health;
    time_point now{seconds{10}};
    for (int n = 0; n != 3; ++n)
    {
        health.on_outcome(attempt_outcome::failed, now);
    }

    SUBCASE("is ejected and gets no more requests")
    {
        CHECK(health.ejected(now));
        now += seconds{1};
        CHECK_FALSE(health.ejected(now));

        SUBCASE("for longer when it fails again after its return")
        {
            health.on_outcome(attempt_outcome::failed, now);
            CHECK(health.ejected(now + milliseconds{1999}));
            CHECK_FALSE(health.ejected(now + seconds{2}));
        }

        SUBCASE("and needs the full number of failures again after a success")
        {
            health.on_outcome(attempt_outcome::succeeded, now);
            health.on_outcome(attempt_outcome::failed, now);
            CHECK_FALSE(health.ejected(now));
        }
    }
}

TEST_CASE("an endpoint that does not answer polls")
{
    endpoint_health health;
    const time_point now{seconds{10}};
    CHECK_FALSE(health.on_poll(false));
    CHECK_FALSE(health.ejected(now));
    CHECK_FALSE(health.on_poll(false));

    SUBCASE("is ejected until it answers")
    {
        CHECK(health.ejected(now + seconds{3600}));
        CHECK(health.on_poll(true));
        CHECK_FALSE(health.ejected(now));

        SUBCASE("and its return is signalled once, so that it starts cold")
        {
            CHECK_FALSE(health.on_poll(true));
        }
    }
}

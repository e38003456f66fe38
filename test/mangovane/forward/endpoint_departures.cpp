// Tests of the record of endpoints that leave. Guards against the exit of an endpoint that has
// served for its time being taken for a crash, and against a crash being taken for such an exit.
#include "mangovane/forward/endpoint_departures.hpp"

#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"

using namespace mangovane;
using test::start;

namespace
{

constexpr milliseconds drain_time{2000};
constexpr incarnation first_epoch{100};

endpoint_info engine(bool leaving = false, incarnation epoch = first_epoch)
{
    endpoint_info result;
    result.id = endpoint_id::of("engine");
    result.leaving = leaving;
    result.epoch = epoch;
    return result;
}

} // namespace

TEST_CASE("the record of endpoints that leave")
{
    endpoint_departures departures{drain_time};
    const endpoint_directory none;
    const endpoint_directory ready{{engine()}};
    const endpoint_directory draining{{engine(true)}};
    const auto id = engine().id;
    const auto serves_until = [&] { return departures.serves_until(id, first_epoch); };
    departures.on_list(none, ready, start);
    CHECK_FALSE(serves_until());

    SUBCASE("has an endpoint that must go on serving from the moment at which it is known to leave")
    {
        SUBCASE("as its entry says so")
        {
            departures.on_list(ready, draining, start);
        }
        SUBCASE("as its entry is removed")
        {
            departures.on_list(ready, none, start);
        }
        SUBCASE("as a response says so")
        {
            departures.on_stated(id, first_epoch, start);
        }
        CHECK(serves_until() == start + drain_time);
    }
    SUBCASE("keeps the moment at which an endpoint was known to leave")
    {
        departures.on_list(ready, draining, start);
        SUBCASE("when it is said again")
        {
            departures.on_list(ready, draining, start + milliseconds{500});
            departures.on_stated(id, first_epoch, start + milliseconds{600});
            departures.on_list(draining, none, start + milliseconds{700});
            CHECK(serves_until() == start + drain_time);
        }
        SUBCASE("for its incarnation only, not for a later one in its place")
        {
            CHECK(serves_until() == start + drain_time);
            CHECK_FALSE(departures.serves_until(id, first_epoch + 1));
        }
        SUBCASE("until long after")
        {
            departures.expire(start + std::chrono::hours{2});
            CHECK_FALSE(serves_until());
        }
    }
    SUBCASE("does not have an endpoint whose entry")
    {
        SUBCASE("was replaced by that of a later incarnation: it has crashed")
        {
            departures.on_list(ready, endpoint_directory{{engine(false, first_epoch + 1)}}, start);
        }
        SUBCASE("is back after an outage of the registry")
        {
            departures.on_list(ready, none, start);
            departures.on_list(none, ready, start + milliseconds{100});
        }
        CHECK_FALSE(serves_until());
    }
    SUBCASE("keeps what the endpoint itself has said, whatever the list says")
    {
        departures.on_stated(id, first_epoch, start);
        departures.on_list(none, ready, start + milliseconds{100});
        CHECK(serves_until() == start + drain_time);
    }
}

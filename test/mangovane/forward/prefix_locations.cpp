// Tests of the prefix locations: expiry, restarts of endpoints, and the capacity. Guards against a
// prefix source that no longer holds the prefix.
#include "mangovane/forward/prefix_locations.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("the prefix locations")
{
    const time_point now{seconds{100}};
    const auto one = endpoint_id::of("one");
    const auto two = endpoint_id::of("two");
    prefix_locations locations;
    locations.record(7, one, 1, now);

    SUBCASE("hold the endpoint that was sent a prefix until the entry expires")
    {
        CHECK(locations.holds(7, one, 1, now));
        CHECK_FALSE(locations.holds(8, one, 1, now));
        CHECK_FALSE(locations.holds(7, one, 1, now + prefix_locations::location_ttl));
    }
    SUBCASE("do not hold a restarted endpoint: its cache is empty")
    {
        CHECK_FALSE(locations.holds(7, one, 2, now));
    }
    SUBCASE("name the last other endpoint as the source")
    {
        CHECK_FALSE(locations.last_other(7, one, now));
        locations.record(7, two, 1, now + seconds{1});
        CHECK(locations.last_other(7, two, now + seconds{1}) == one);
        CHECK(locations.last_other(7, one, now + seconds{1}) == two);
    }
    SUBCASE("stay within the capacity and evict the oldest first")
    {
        for (std::uint64_t n = 1000; n != 1000 + 3 * prefix_locations::capacity; ++n)
        {
            locations.record(n, one, 1, now + milliseconds{n});
        }
        CHECK(locations.size() <= prefix_locations::capacity);
        CHECK(locations.size() > prefix_locations::capacity / 2);
    }
}

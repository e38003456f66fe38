// Tests of the memory of prefixes.
#include "mangovane/forward/prefix_locations.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("the memory of prefixes")
{
    const time_point now{seconds{100}};
    const auto one = endpoint_id::of("one");
    const auto two = endpoint_id::of("two");
    prefix_locations memory;
    memory.record(7, one, 1, now);

    SUBCASE("knows the endpoint that was sent a prefix, for a while")
    {
        CHECK(memory.holds(7, one, 1, now));
        CHECK_FALSE(memory.holds(8, one, 1, now));
        CHECK_FALSE(memory.holds(7, one, 1, now + prefix_locations::location_ttl));
    }
    SUBCASE("does not trust an endpoint that has started again: it holds nothing")
    {
        CHECK_FALSE(memory.holds(7, one, 2, now));
    }
    SUBCASE("names the last other endpoint as the source")
    {
        CHECK_FALSE(memory.last_other(7, one, now));
        memory.record(7, two, 1, now + seconds{1});
        CHECK(memory.last_other(7, two, now + seconds{1}) == one);
        CHECK(memory.last_other(7, one, now + seconds{1}) == two);
    }
    SUBCASE("stays within its capacity, and forgets the oldest first")
    {
        for (std::uint64_t n = 1000; n != 1000 + 3 * prefix_locations::capacity; ++n)
        {
            memory.record(n, one, 1, now + milliseconds{n});
        }
        CHECK(memory.size() <= prefix_locations::capacity);
        CHECK(memory.size() > prefix_locations::capacity / 2);
    }
}

// Many instances in front of one service. Guards against a queue that holds requests back while
// there is room, and against instances that together send much more than the service can take.
#include "gated_fleet.hpp"

#include <doctest/doctest.h>

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr int played_ms = 6000;

fleet_load load_of(double part_of_capacity, std::uint8_t urgency = 5)
{
    return {urgency, part_of_capacity * gated_fleet::capacity, 0, played_ms - 1000};
}

gated_fleet play(std::vector<fleet_load> loads, const fleet_params& params)
{
    gated_fleet result{std::move(loads), params};
    result.play(played_ms);
    return result;
}

fleet_params without_admission(fleet_params params)
{
    params.admission = false;
    return params;
}

} // namespace

TEST_CASE("one hundred instances in front of a service")
{
    fleet_params params;
    SUBCASE("with digests every 0.2 s")
    {
        params.digest_period = 200;
    }
    SUBCASE("with digests every 1 s")
    {
        params.digest_period = 1000;
    }
    CAPTURE(params.digest_period);

    // With room, no caller notices that there is a queue.
    const auto half = play({load_of(0.5)}, params);
    CHECK(half.result(0).waited == 0);
    CHECK(half.result(0).served() == 1);
    CHECK(play({load_of(0.8)}, params).result(0).served() == 1);

    // Near the capacity, nearly all callers are served, as without the queue.
    CHECK(play({load_of(0.95)}, params).result(0).served() >= 0.99);

    // At twice the capacity, the endpoints do not work on requests that are too late.
    const auto twice = play({load_of(2)}, params);
    const auto unprotected = play({load_of(2)}, without_admission(params));
    CHECK(twice.result(0).in_time >= 1.7 * unprotected.result(0).in_time);
    CHECK(twice.most_at_endpoints() * 10 <= unprotected.most_at_endpoints());
    CHECK(twice.waiting() == 0);

    // The urgent callers are served before the others.
    const auto mixed = play({load_of(0.4, 2), load_of(1.6, 6)}, params);
    CHECK(mixed.result(0).served() >= 1.5 * mixed.result(1).served());

    // Callers that return at the advised time find room as often as newcomers, about.
    params.callers_return = true;
    const auto back = play({load_of(1.2)}, params).result(0);
    CHECK(back.returned > 0);
    CHECK(back.returned_served * 4 >= back.returned);
}

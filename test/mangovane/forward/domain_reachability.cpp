// Tests of the reachability of failure domains. A partition that is found endpoint by endpoint
// costs each request several connection timeouts; a domain that is suspected without reason loses
// the requests whose prefixes its endpoints hold.
#include "mangovane/forward/domain_reachability.hpp"

#include <string>

#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"

using namespace mangovane;
using test::start;

namespace
{

const domain_id lost = domain_id::of("lekki-b");
const domain_id other = domain_id::of("ikeja-a");

endpoint_id endpoint(int n)
{
    return endpoint_id::of("engine-" + std::to_string(n));
}

} // namespace

TEST_CASE("a failure domain whose instances send messages")
{
    domain_reachability domains;
    domains.on_message(lost, start);

    SUBCASE("is not suspected for one endpoint that cannot be reached, however often")
    {
        for (int n = 0; n != 10; ++n)
        {
            domains.on_unreachable(lost, endpoint(1), start + milliseconds{n});
        }
        CHECK(domains.suspected(start + milliseconds{10}).empty());
    }
    SUBCASE("is not suspected while endpoints of it respond in between")
    {
        for (int n = 0; n != 10; ++n)
        {
            domains.on_unreachable(lost, endpoint(n), start);
            domains.on_response(lost);
        }
        CHECK(domains.suspected(start).empty());
    }
    SUBCASE("is suspected, and no other, after several endpoints in a row")
    {
        domains.on_message(other, start);
        for (int n = 0; n != 3; ++n)
        {
            domains.on_unreachable(lost, endpoint(n), start);
        }
        CHECK(domains.suspected(start) == std::vector{lost});

        SUBCASE("until an endpoint of it responds")
        {
            domains.on_response(lost);
            CHECK(domains.suspected(start).empty());
        }
        SUBCASE(
            "for a limited time, after which one further failure renews the suspicion for longer")
        {
            const auto retry_at = start + domain_reachability::first_suspicion;
            CHECK(domains.suspected(retry_at).empty());
            domains.on_unreachable(lost, endpoint(1), retry_at);
            CHECK(domains.suspected(retry_at + domain_reachability::first_suspicion) ==
                  std::vector{lost});
        }
    }
}

TEST_CASE("a failure domain whose instances have fallen silent")
{
    domain_reachability domains;
    domains.on_message(lost, start);
    const auto later = start + domain_reachability::silence_timeout;

    SUBCASE("is not suspected for that alone: they may all have been stopped")
    {
        CHECK(domains.suspected(later).empty());
    }
    SUBCASE("is suspected after the first endpoint that cannot be reached")
    {
        domains.on_unreachable(lost, endpoint(1), later);
        CHECK(domains.suspected(later) == std::vector{lost});
    }
}

TEST_CASE("a failure domain that never had instances is judged by its endpoints alone")
{
    domain_reachability domains;
    domains.on_unreachable(lost, endpoint(1), start + seconds{60});
    CHECK(domains.suspected(start + seconds{60}).empty());
}

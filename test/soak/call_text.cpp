// Guards against long work that is shorter than the bounds of a stop, with which the soak would not
// find requests that a stop cuts.
#include "soak/call_text.hpp"

#include <algorithm>

#include <doctest/doctest.h>

using namespace mangovane;
using namespace mangovane::soak;

TEST_CASE("the texts and the work of the soak's requests")
{
    constexpr std::array kinds{
        call_kind::single_run,       call_kind::idempotent,    call_kind::plain_stream,
        call_kind::resumable_stream, call_kind::probe,         call_kind::long_body,
        call_kind::long_stream,      call_kind::removed_route, call_kind::removed_key};

    SUBCASE("an id tells the kind of the request")
    {
        for (const auto kind : kinds)
        {
            CHECK(kind_of(make_request_id(kind, 7, 3, 12)) == kind);
        }
    }
    SUBCASE("long work is spread from little to almost the timeout of its route")
    {
        for (const auto kind : {call_kind::long_body, call_kind::long_stream})
        {
            milliseconds shortest{long_route_timeout};
            milliseconds longest{0};
            for (std::uint64_t n = 0; n != 1000; ++n)
            {
                const auto work = work_of(make_request_id(kind, 0, 3, n));
                const auto total = work.delay + work.events * work.event_interval;
                shortest = std::min(shortest, std::chrono::duration_cast<milliseconds>(total));
                longest = std::max(longest, std::chrono::duration_cast<milliseconds>(total));
            }
            CHECK(shortest < milliseconds{500});
            CHECK(longest > long_route_timeout * 9 / 10);
            CHECK(longest < long_route_timeout);
        }
    }
    SUBCASE("deadlines never exceed the timeout of the route")
    {
        for (std::uint64_t n = 0; n != 1000; ++n)
        {
            CHECK(deadline_of(make_request_id(call_kind::long_body, 0, 3, n)) <=
                  long_route_timeout);
        }
        CHECK(deadline_of("grant-3-1") == request_deadline);
    }
    SUBCASE("a request of an uncontrolled caller is told from all others")
    {
        CHECK(is_uncontrolled(make_uncontrolled_id(3, 12)));
        CHECK(target_of(make_uncontrolled_id(3, 12)).starts_with("/ledger/"));
        for (const auto kind : kinds)
        {
            CHECK_FALSE(is_uncontrolled(make_request_id(kind, 7, 3, 12)));
        }
    }
    SUBCASE("what a version alone has is asked for by its route or its key")
    {
        const auto text =
            with_own_parts(R"({"routes":[{"name":"v7"}],"tenants":[{"api_keys":["key-1"]}]})", 7);
        CHECK(text.find(R"("routes":[{"name":"only7")") != std::string::npos);
        CHECK(text.find(R"("api_keys":["key-1","turn7"])") != std::string::npos);

        const auto route = make_request_id(call_kind::removed_route, 7, 3, 12);
        CHECK(target_of(route).starts_with("/only7/"));
        CHECK(key_of(route) == "key-1");

        const auto key = make_request_id(call_kind::removed_key, 7, 3, 12);
        CHECK(target_of(key).starts_with("/status/"));
        CHECK(key_of(key) == "turn7");
    }
}

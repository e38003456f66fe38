// Tests of the polls of endpoints. Guards against a timer that is believed before what has arrived:
// an endpoint that answers its polls in time would count as unreachable and get no requests.
#include "mangovane/net/endpoint_poller.hpp"

#include <thread>

#include <doctest/doctest.h>

#include "mangovane/net/endpoint_owner.hpp"
#include "mangovane/net/paused_context.hpp"
#include "mangovane/net/raw_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

/// Above the timeout of a poll, below the period of polls.
constexpr milliseconds pause_time{450};

/// For the end of a poll whose answer has arrived; below the timeout of the next poll.
constexpr milliseconds settle_time{100};

/// Polls that have to fail in a row until an endpoint counts as unreachable.
constexpr int polls_to_ejection = 2;

/// A plain service has no load report, but it responds.
constexpr std::string_view no_report = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

bool is_ejected(endpoint_owner& owner)
{
    const auto all = owner.core.slots().status(clock::now());
    REQUIRE(all.size() == 1);
    return all.front().closed == slot_refusal_reason::failing;
}

} // namespace

TEST_CASE("an instance that polls an endpoint")
{
    raw_endpoint endpoint;
    endpoint_owner owner{endpoint.address()};
    endpoint_poller poller{owner.io, owner.core};
    poller.start();
    owner.start();

    SUBCASE(
        "and is paused past the timeouts of its polls counts the answers that arrived meanwhile")
    {
        for (int n = 0; n != polls_to_ejection; ++n)
        {
            auto poll = endpoint.accept_request();
            const paused_context pause{owner.io, clock::now() + pause_time};
            send(poll, no_report);
        }
        std::this_thread::sleep_for(settle_time);
        CHECK_FALSE(is_ejected(owner));
    }
    SUBCASE("takes it for unreachable if no poll is answered")
    {
        for (int n = 0; n != polls_to_ejection; ++n)
        {
            const auto poll = endpoint.accept_request();
            std::this_thread::sleep_for(pause_time);
        }
        std::this_thread::sleep_for(settle_time);
        CHECK(is_ejected(owner));
    }
    owner.stop();
}

// Guards against giving up an endpoint that is slow but sound when no other one can take over: the
// caller would lose an answer that was on its way.
#include <thread>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/router_fleet.hpp"
#include "platform/scripted_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

constexpr milliseconds time_to_register{1000};

/// Above the permitted gap between events of the tests' configuration (600 ms).
constexpr milliseconds long_gap{1000};

/// Above the latency objective of `status` (300 ms), below its timeout (800 ms).
constexpr milliseconds slow_work{350};

asio::awaitable<void> paused_stream(const request& req, reply& rep)
{
    co_await rep.raw(response_head(req, 200, "\r\nid: 1\ndata: x\n\n"));
    co_await rep.pause(long_gap);
    co_await rep.raw("id: 2\ndata: x\n\n");
    co_await rep.close();
}

asio::awaitable<void> slow_response(const request& req, reply& rep)
{
    co_await rep.pause(slow_work);
    co_await rep.raw(response_head(req, 200, "Content-Length: 4\r\n\r\nslow"));
    co_await rep.close();
}

asio::awaitable<void> slow_body(const request& req, reply& rep)
{
    co_await rep.raw(response_head(req, 200, "Content-Length: 4\r\n\r\n"));
    for (int n = 0; n != 4; ++n)
    {
        co_await rep.pause(milliseconds{100});
        co_await rep.raw("y");
    }
    co_await rep.close();
}

asio::awaitable<void> closed_for_a_while(const request& req, reply& rep)
{
    co_await rep.raw(response_head(
        req, 503, "X-Not-Executed: 1\r\nRetry-After: 600\r\nContent-Length: 0\r\n\r\n"));
    co_await rep.close();
}

} // namespace

TEST_CASE("a slow endpoint that no other one can replace")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    const scripted_endpoint streams{paused_stream};
    const scripted_endpoint slow{slow_response};
    const scripted_endpoint bodies{slow_body};
    const scripted_endpoint closed{closed_for_a_while};
    const auto add = [&](const std::string& service, const scripted_endpoint& it)
    {
        fleet.write_address(service + "-slow", service, it.address());
        std::this_thread::sleep_for(time_to_register);
    };

    SUBCASE("because it is the only one:")
    {
        SUBCASE("its stream is complete although it pauses")
        {
            add("dictamen", streams);
            const auto response = fleet.call(0, "POST", "rights", "pause");
            CHECK(response.status == 200);
            CHECK(response.has("id: 2\n"));
            CHECK(streams.started() == 1);
        }
        SUBCASE("its late response is passed on")
        {
            add("ventanilla", slow);
            CHECK(fleet.call(0, "GET", "status", "late").body == "slow");
            CHECK(slow.started() == 1);
        }
        SUBCASE("a response whose body is on its way is passed on")
        {
            add("ventanilla", bodies);
            CHECK(fleet.call(0, "GET", "status", "body").body == "yyyy");
            CHECK(bodies.started() == 1);
        }
    }
    SUBCASE("because the others accept no requests: its stream is complete")
    {
        fleet.write_address("closed", "dictamen", closed.address());
        add("dictamen", streams);
        // Afterwards the router knows that the other one is closed.
        for (int n = 0; n != 30 && closed.started() == 0; ++n)
        {
            (void)fleet.call(0, "POST", "rights", absl::StrCat("first-", n));
        }
        CHECK(closed.started() <= 1);
        const auto response = fleet.call(0, "POST", "rights", "pause");
        CHECK(response.status == 200);
        CHECK(response.has("id: 2\n"));
    }
    SUBCASE("because the other one turns the request away: its stream is complete")
    {
        // The router learns it only when it has given up the slow one, and must then go back there.
        add("dictamen", streams);
        fleet.write_address("closed", "dictamen", closed.address());
        std::this_thread::sleep_for(time_to_register);
        for (int n = 0; n != 4; ++n)
        {
            const auto response = fleet.call(0, "POST", "rights", absl::StrCat("pause-", n));
            CHECK(response.status == 200);
            CHECK(response.has("id: 2\n"));
        }
    }
}

TEST_CASE("a body that is on its way")
{
    // Only the first byte was waited for, so that a sound response was given up after most of the
    // objective and the request ran twice.
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    const scripted_endpoint one{slow_body};
    const scripted_endpoint two{slow_body};
    fleet.write_address("one", "ventanilla", one.address());
    fleet.write_address("two", "ventanilla", two.address());
    std::this_thread::sleep_for(time_to_register);
    CHECK(fleet.call(0, "GET", "status", "body").body == "yyyy");
    CHECK(one.started() + two.started() == 1);
}

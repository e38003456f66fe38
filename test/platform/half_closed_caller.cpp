// Pins how a caller is treated that shuts down its sending side after a request. Such a caller
// cannot be told from one that has closed its connection, whose request must not go on at the
// endpoint.
#include <atomic>
#include <thread>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/raw_caller.hpp"
#include "platform/router_fleet.hpp"
#include "platform/scripted_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

constexpr milliseconds event_interval{50};
constexpr int long_stream_events = 40;
constexpr milliseconds time_to_register{1000};
constexpr milliseconds read_timeout{3000};

/// A stream that counts the events that it could send.
scripted_endpoint::script long_stream(std::atomic<int>& sent)
{
    return [&sent](const request& req, reply& rep) -> asio::awaitable<void>
    {
        rep.add_field("X-Attempt-Id", std::string{req["X-Attempt-Id"]});
        rep.add_field("X-Server-Signature", "s");
        co_await rep.start_chunks(200, "text/event-stream", {});
        for (int n = 1; n <= long_stream_events && rep.open(); ++n)
        {
            co_await rep.pause(event_interval);
            const bool written = co_await rep.chunk(absl::StrCat("id: ", n, "\ndata: x\n\n"));
            sent += written ? 1 : 0;
        }
        if (rep.open())
        {
            co_await rep.end_chunks();
        }
    };
}

asio::awaitable<void> answer_late(const request& req, reply& rep)
{
    co_await rep.pause(milliseconds{400});
    co_await rep.raw(response_head(req, 200, "Content-Length: 0\r\n\r\n"));
}

} // namespace

TEST_CASE("a caller that shuts down its sending side")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    std::atomic<int> sent{0};
    const scripted_endpoint stream{long_stream(sent)};
    const scripted_endpoint plain{answer_late};
    fleet.write_address("stream", "dictamen", stream.address());
    fleet.write_address("plain", "ventanilla", plain.address());
    std::this_thread::sleep_for(time_to_register);
    raw_caller caller{fleet.address(0, 0)};

    SUBCASE("while an endpoint works on its request gets no response")
    {
        caller.send(request_text("POST", "grant", "half-closed"));
        CHECK(eventually([&] { return plain.started() == 1; }, read_timeout));
        caller.finish_sending();
        CHECK(caller.read_all(read_timeout).empty());
        CHECK(plain.started() == 1);
    }
    SUBCASE("while it receives a stream gets no end of it, and the endpoint stops")
    {
        caller.send(request_text("POST", "review", "half-closed", "X-Prefix-Hash: aa:100\r\n"));
        CHECK(eventually([&] { return stream.started() == 1; }, read_timeout));
        std::this_thread::sleep_for(event_interval * 4);
        caller.finish_sending();
        const auto text = caller.read_all(read_timeout);
        CHECK(status_of(text) == 200);
        CHECK(text.find(absl::StrCat("id: ", long_stream_events, "\n")) == std::string::npos);
        CHECK_FALSE(text.ends_with("0\r\n\r\n"));
        CHECK(eventually([&] { return stream.ended() == 1; }, read_timeout));
        CHECK(sent < long_stream_events);
    }
    // The router goes on to serve others.
    CHECK(fleet.call(0, "GET", "status", "other").status == 200);
}

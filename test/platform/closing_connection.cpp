// Guards against responses that a caller loses at the end of a connection: closing a socket with
// unread bytes resets the connection, and what was written but not received is gone.
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

constexpr std::size_t large_body_bytes = std::size_t{200} * 1024;

/// Much less than a response, so that its end waits in the sending socket.
constexpr int receive_bytes = 4 * 1024;
constexpr milliseconds time_to_register{1000};
constexpr milliseconds read_timeout{3000};

asio::awaitable<void> large_response(const request& req, reply& rep)
{
    const auto head =
        response_head(req, 200, absl::StrCat("Content-Length: ", large_body_bytes, "\r\n\r\n"));
    co_await rep.raw(head + std::string(large_body_bytes, 'x'));
    co_await rep.close();
}

} // namespace

TEST_CASE("a connection that the router closes after a response")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    const scripted_endpoint large{large_response};
    fleet.write_address("large", "ventanilla", large.address());
    std::this_thread::sleep_for(time_to_register);
    raw_caller caller{fleet.address(0, 0), receive_bytes};

    SUBCASE("delivers the whole response although the caller has sent more")
    {
        caller.send(request_text("GET", "status", "first", "Connection: close\r\n"));
        std::this_thread::sleep_for(milliseconds{100});
        caller.send(request_text("GET", "status", "not-read"));
        std::this_thread::sleep_for(milliseconds{200});
        const auto text = caller.read_all(read_timeout);
        CHECK(status_of(text) == 200);
        CHECK(text.size() > large_body_bytes);
        CHECK(large.started() == 1);
    }
    SUBCASE("carries no body in the refusal of a HEAD request")
    {
        caller.send(request_text("HEAD", "unknown", "head", "Connection: close\r\n"));
        const auto text = caller.read_all(read_timeout);
        CHECK(status_of(text) == 404);
        CHECK(text.ends_with("\r\n\r\n"));
    }
    SUBCASE("delivers the refusal of a large body while the caller still sends it")
    {
        const std::string part(std::size_t{100} * 1024, 'y');
        caller.send("POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: large-body\r\n"
                    "Authorization: Bearer key-1\r\nContent-Length: 1000000\r\n\r\n");
        caller.send(part);
        std::this_thread::sleep_for(milliseconds{200});
        CHECK_NOTHROW(caller.send(part));
        CHECK_NOTHROW(caller.send(part));
        CHECK(status_of(caller.read_all(read_timeout)) == 413);
    }
}

// Guards against a caller that ends the process of a router with one request that it cannot accept:
// all requests in progress there would end without an answer.
#include <future>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/raw_caller.hpp"
#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

/// Bytes that are no acceptable request, and the status of the response.
struct malformed_request
{
    std::string name;
    std::string bytes;
    unsigned status;
};

std::string with_fields(const std::string& fields)
{
    return absl::StrCat("POST /grant/7 HTTP/1.1\r\nX-Attempt-Id: bad\r\n",
                        "Authorization: Bearer key-1\r\n", fields, "\r\n\r\n");
}

const std::vector<malformed_request>& malformed_requests()
{
    // Longer than the limits of the tests' configuration.
    static const std::string long_field(10000, 'x');
    static const std::string long_body(30000, 'x');
    static const std::string hidden = "GET /status/7 HTTP/1.1\r\nHost: desk.example\r\n\r\n";
    static const std::vector<malformed_request> requests{
        {"no Host", with_fields("Content-Length: 0"), 400},
        {"two Hosts", with_fields("Host: desk.example\r\nHost: other\r\nContent-Length: 0"), 400},
        {"two lengths", with_fields("Host: desk.example\r\nContent-Length: 0\r\nContent-Length: 5"),
         400},
        {"a length and chunks",
         with_fields("Host: desk.example\r\nContent-Length: 5\r\nTransfer-Encoding: chunked") +
             "0\r\n\r\n" + hidden,
         400},
        {"an unknown transfer encoding",
         with_fields("Host: desk.example\r\nTransfer-Encoding: chunked, identity"), 400},
        {"a length that is no number", with_fields("Host: desk.example\r\nContent-Length: -1"),
         400},
        {"a chunk size that is no number",
         with_fields("Host: desk.example\r\nTransfer-Encoding: chunked") + "zz\r\n", 400},
        {"a field without a colon", with_fields("Host desk.example"), 400},
        {"an unknown version", "GET /status/7 HTTP/9.9\r\nHost: desk.example\r\n\r\n", 400},
        {"no method", " /status/7 HTTP/1.1\r\nHost: desk.example\r\n\r\n", 400},
        {"bytes that are not HTTP", std::string{"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 11}, 400},
        {"a head over the limit", with_fields("Host: desk.example\r\nX-More: " + long_field), 431},
        {"a body over the limit",
         with_fields("Host: desk.example\r\nContent-Length: 30000") + long_body, 413},
        {"chunks over the limit",
         with_fields("Host: desk.example\r\nTransfer-Encoding: chunked") + "7530\r\n" + long_body +
             "\r\n0\r\n\r\n",
         413},
        {"no route", request_text("POST", "nothing", "bad"), 404},
    };
    return requests;
}

constexpr milliseconds response_time{5000};

} // namespace

TEST_CASE("a request that cannot be accepted")
{
    router_fleet fleet{1};
    auto& plain = fleet.add_engine("plain-1", "ventanilla");
    fleet.add_engine("engine-1", "dictamen", 400);
    REQUIRE(fleet.await_ready(0));

    SUBCASE("is rejected, and the same process serves the next caller")
    {
        for (const auto& it : malformed_requests())
        {
            CAPTURE(it.name);
            raw_caller caller{fleet.address(0, 0)};
            caller.send(it.bytes);
            CHECK(status_of(caller.read_all(response_time)) == it.status);
            CHECK(fleet.call(0, "POST", "grant", "after " + it.name).status == 200);
            REQUIRE_FALSE(fleet.processes[0]->wait(milliseconds{0}));
        }
        const auto runs = plain.engine.runs();
        CHECK(runs.size() == malformed_requests().size());
    }
    SUBCASE("does not end the requests of other callers")
    {
        auto stream = std::async(std::launch::async,
                                 [&] { return fleet.call(0, "POST", "review", "in-progress"); });
        REQUIRE(eventually([&] { return runs_of(fleet, "in-progress") == 1; }, response_time));
        for (const auto& it : malformed_requests())
        {
            raw_caller caller{fleet.address(0, 0)};
            caller.send(it.bytes);
            (void)caller.read_all(milliseconds{50});
        }
        const auto response = stream.get();
        CHECK(response.status == 200);
        CHECK(response.has("in-progress-400"));
    }
}

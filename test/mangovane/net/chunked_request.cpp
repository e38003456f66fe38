// Tests of what a body in very small chunks costs. Guards against callers that keep the processor
// busy: a front end that suspends for each chunk takes as many steps as the caller sends chunks.
#include <doctest/doctest.h>

#include "mangovane/net/native_server.hpp"
#include "mangovane/net/silent_services.hpp"
#include "mangovane/net/small_chunks.hpp"

using namespace mangovane;
using namespace mangovane::test;

TEST_CASE("a native server that gets a body in chunks of one byte")
{
    constexpr std::size_t chunk_count = 4000;
    boost::asio::io_context io{1};
    discarding_sink sink;
    coordinator core{coordinator_options{}, sink, clock::now()};
    no_claims claims;
    silent_observer observer;
    std::atomic<bool> ready{true};
    frontend_services services{core, claims, observer, ready, [] { return std::string{}; }, {}};
    native_server server{io, services};
    REQUIRE(server.listen("127.0.0.1:0").ok());

    SUBCASE("takes steps for its bytes, not for its chunks")
    {
        const auto request = in_small_chunks(
            "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n", chunk_count);
        CHECK(check_steps(io, server.port(), request) == "HTTP/1.1 200");
    }
    io.stop();
}

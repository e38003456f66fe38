// Tests of what a body in very small chunks costs. Guards against callers that keep the processor
// busy: a front end that suspends for each chunk takes as many steps as the caller sends chunks.
#include <cstddef>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/native_server.hpp"

using namespace mangovane;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t chunk_count = 4000;

/// Bytes for which a front end may take one step, beside the steps of any request.
constexpr std::size_t bytes_per_step = 256;
constexpr std::size_t steps_of_any_request = 50;

class discarding_sink final : public message_sink
{
public:
    void send(const outgoing_message&) override {}
};

class no_claims final : public claim_store
{
public:
    void claim_key(claim, time_point, claim_writer::claim_handler) override {}
    void settle(claim, time_point, claim_writer::settle_handler) override {}
};

class silent_observer final : public request_observer
{
public:
    void on_request_end(const request_record&) override {}
    void on_early_refusal(error_kind) override {}
    void on_dropped_answer() override {}
    void on_failed_attempt(std::string_view) override {}
    void on_caller_stall() override {}
    void on_session_end(std::string_view) override {}
};

std::string request_in_small_chunks()
{
    std::string result = "GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n != chunk_count; ++n)
    {
        result += "1\r\nx\r\n";
    }
    return result + "0\r\n\r\n";
}

} // namespace

TEST_CASE("a native server that gets a body in chunks of one byte")
{
    asio::io_context io{1};
    discarding_sink sink;
    coordinator core{coordinator_options{}, sink, clock::now()};
    no_claims claims;
    silent_observer observer;
    std::atomic<bool> ready{true};
    frontend_services services{core, claims, observer, ready, [] { return std::string{}; }, {}};
    native_server server{io, services};
    REQUIRE(server.listen("127.0.0.1:0").ok());

    asio::io_context client;
    tcp::socket caller{client};
    caller.connect({asio::ip::make_address("127.0.0.1"), server.port()});
    const auto text = request_in_small_chunks();
    asio::write(caller, asio::buffer(text));

    SUBCASE("takes steps for its bytes, not for its chunks")
    {
        std::size_t steps = 0;
        while (caller.available() == 0)
        {
            steps += io.run_one_for(milliseconds{5000});
            REQUIRE(steps <= chunk_count * 10);
        }
        MESSAGE("steps: ", steps);
        CHECK(steps <= text.size() / bytes_per_step + steps_of_any_request);
        std::string answer(12, '\0');
        asio::read(caller, asio::buffer(answer));
        CHECK(answer == "HTTP/1.1 200");
    }
    io.stop();
}

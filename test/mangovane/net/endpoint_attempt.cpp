// Tests of attempts of the native front end at an endpoint. Guards against timers that are believed
// before what has arrived: a request that may not be repeated would end with an error although its
// response waits in the socket.
#include "mangovane/net/endpoint_attempt.hpp"

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "mangovane/net/endpoint_owner.hpp"
#include "mangovane/net/native_server.hpp"
#include "mangovane/net/paused_context.hpp"
#include "mangovane/net/raw_endpoint.hpp"
#include "mangovane/net/silent_services.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t request_count = 4;
constexpr milliseconds request_time{600};
/// For requests whose deadline is not tested.
constexpr milliseconds long_time{10000};
/// Below the 1 s after which the kernel sends a connection request again.
constexpr milliseconds connect_timeout{850};
constexpr milliseconds kernel_retry_time{1000};

/// Between the first part of a response and its end, as if more were to follow.
constexpr milliseconds pause_before_end{100};

constexpr std::string_view answer_head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
constexpr std::string_view answer_body = "done";

/// Serves callers of an instance that owns one endpoint.
struct served_instance
{
    explicit served_instance(const std::string& endpoint_address) : owner{endpoint_address}
    {
        services.limits.connect_timeout = connect_timeout;
        REQUIRE(server.listen("127.0.0.1:0").ok());
        owner.start();
    }
    ~served_instance() { owner.stop(); }
    served_instance(const served_instance&) = delete;
    served_instance& operator=(const served_instance&) = delete;

    endpoint_owner owner;
    no_claims claims;
    silent_observer observer;
    std::atomic<bool> ready{true};
    frontend_services services{owner.core, claims, observer, ready, [] { return std::string{}; },
                               {}};
    native_server server{owner.io, services};
};

/// Sends a request that may not be repeated.
class test_caller
{
public:
    test_caller(const served_instance& target, milliseconds time)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), target.server.port()});
        send(socket_, "POST /services/ebi-ledger/grants HTTP/1.1\r\nHost: a\r\n"
                      "Authorization: Bearer secret\r\nMangovane-Deadline-Ms: " +
                          std::to_string(time.count()) +
                          "\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}");
    }

    std::string read_all() { return test::read_all(socket_); }

private:
    asio::io_context io_{1};
    tcp::socket socket_{io_};
};

using callers = std::vector<std::unique_ptr<test_caller>>;

bool is_answered(test_caller& caller)
{
    const auto answer = caller.read_all();
    return answer.starts_with("HTTP/1.1 200") && answer.ends_with(answer_body);
}

std::size_t count_answered(const callers& all)
{
    std::size_t result = 0;
    for (const auto& it : all)
    {
        result += is_answered(*it) ? 1U : 0U;
    }
    return result;
}

/// Returns once the instance sends requests to the endpoint that it owns.
void warm_up(const served_instance& target, raw_endpoint& endpoint)
{
    test_caller caller{target, long_time};
    auto call = endpoint.accept_request();
    send(call, std::string{answer_head} + std::string{answer_body});
    REQUIRE(is_answered(caller));
}

} // namespace

TEST_CASE("a native instance that is paused past the deadlines of its requests")
{
    raw_endpoint endpoint;
    served_instance target{endpoint.address()};
    warm_up(target, endpoint);
    const auto started_at = clock::now();
    callers all;
    std::vector<raw_endpoint::socket> calls;
    for (std::size_t n = 0; n != request_count; ++n)
    {
        all.push_back(std::make_unique<test_caller>(target, request_time));
        calls.push_back(endpoint.accept_request());
    }
    const auto pause_until = clock::now() + request_time + milliseconds{50};

    SUBCASE("passes on the responses that arrived meanwhile")
    {
        {
            const paused_context pause{target.owner.io, pause_until};
            for (auto& it : calls)
            {
                send(it, std::string{answer_head} + std::string{answer_body});
            }
        }
        CHECK(count_answered(all) == all.size());
    }
    SUBCASE("passes on the responses whose rest arrived meanwhile")
    {
        for (auto& it : calls)
        {
            send(it, answer_head);
        }
        std::this_thread::sleep_for(request_time / 2);
        {
            const paused_context pause{target.owner.io, pause_until};
            for (auto& it : calls)
            {
                send(it, answer_body);
            }
        }
        CHECK(count_answered(all) == all.size());
    }
    SUBCASE("answers 504 if nothing has arrived, and says that the request may still run")
    {
        for (const auto& it : all)
        {
            const auto answer = it->read_all();
            CHECK(answer.starts_with("HTTP/1.1 504"));
            CHECK(answer.find("deadline_exceeded_running") != std::string::npos);
        }
        CHECK(clock::now() - started_at >= request_time);
        CHECK(clock::now() - started_at < request_time * 3);
    }
}

TEST_CASE("a native instance whose endpoint ends a response without a length with its connection")
{
    // A process that is killed ends its connections in the same way; half of a response passed as
    // whole.
    auto endpoint = std::make_unique<raw_endpoint>();
    served_instance target{endpoint->address()};
    warm_up(target, *endpoint);
    test_caller caller{target, long_time};
    auto call = std::make_unique<raw_endpoint::socket>(endpoint->accept_request());
    send(*call, "HTTP/1.1 200 OK\r\n\r\n");
    send(*call, answer_body);
    auto liveness = endpoint->accept_within(milliseconds{500});
    std::this_thread::sleep_for(pause_before_end);
    const auto ends_complete = [&] { return caller.read_all().ends_with("0\r\n\r\n"); };

    SUBCASE("passes it on as complete if the endpoint lives on")
    {
        send(*call, answer_body);
        call.reset();
        CHECK(ends_complete());
    }
    SUBCASE("passes it on as incomplete if the endpoint")
    {
        SUBCASE("has ended too")
        {
            call.reset();
            liveness.reset();
            endpoint.reset();
        }
        SUBCASE("has ended too, and another process listens at its address")
        {
            call.reset();
            liveness.reset();
        }
        CHECK_FALSE(ends_complete());
    }
}

TEST_CASE("a native instance that is paused while it connects to an endpoint")
{
    full_endpoint endpoint;
    served_instance target{endpoint.address()};
    test_caller caller{target, long_time};
    while (target.owner.core.counters().attempts == 0)
    {
        std::this_thread::sleep_for(milliseconds{1});
    }
    const auto started_at = clock::now();

    SUBCASE("sends nothing on a connection that was made after its time, and connects again")
    {
        std::this_thread::sleep_for(connect_timeout / 2);
        endpoint.make_room();
        {
            const paused_context pause{target.owner.io,
                                       started_at + connect_timeout + milliseconds{50}};
            std::this_thread::sleep_until(started_at + kernel_retry_time + milliseconds{200});
        }
        CHECK(read_all(endpoint.accept()).empty());
        auto call = endpoint.accept_request();
        send(call, std::string{answer_head} + std::string{answer_body});
        CHECK(is_answered(caller));
    }
}

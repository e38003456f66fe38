// Tests of the native front end over loopback connections. Guards against requests without an
// answer: of a process that was paused past a deadline, of a connection that is closed with unread
// bytes, and of a session that an exception ends.
#include "mangovane/net/native_server.hpp"

#include <chrono>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/silent_services.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

/// More than one poll of the reactor returns (128), so that timers run between two polls.
constexpr std::size_t caller_count = 300;

constexpr milliseconds idle_timeout{600};
constexpr milliseconds header_timeout{600};
constexpr std::uint64_t max_body_bytes = 1000;

constexpr std::string_view health_request = "GET /healthz HTTP/1.1\r\nHost: a\r\n"
                                            "Connection: close\r\n\r\n";
constexpr std::string_view request_with_body = "GET /healthz HTTP/1.1\r\nHost: a\r\n"
                                               "Connection: close\r\nContent-Length: 4\r\n\r\n"
                                               "body";

class failing_observer final : public request_observer
{
public:
    void on_request_end(const request_record&) override {}
    void on_early_refusal(error_kind) override
    {
        if (fails)
        {
            throw std::runtime_error{"no memory for a label"};
        }
    }
    void on_dropped_answer() override {}
    void on_failed_attempt(std::string_view) override {}
    void on_caller_stall() override {}
    void on_session_end(std::string_view) override {}

    std::atomic<bool> fails{false};
};

struct server_fixture
{
    server_fixture()
    {
        services.limits.callers.idle_timeout = idle_timeout;
        services.limits.callers.header_timeout = header_timeout;
        services.limits.callers.body_bytes = max_body_bytes;
        REQUIRE(server.listen("127.0.0.1:0").ok());
        thread = std::thread{[this] { io.run(); }};
    }
    ~server_fixture()
    {
        io.stop();
        thread.join();
    }
    server_fixture(const server_fixture&) = delete;
    server_fixture& operator=(const server_fixture&) = delete;

    /// Keeps the only thread of the server busy, as a pause of the process does.
    void pause(milliseconds time)
    {
        asio::post(io, [time] { std::this_thread::sleep_for(time); });
    }

    asio::io_context io{1};
    discarding_sink sink;
    coordinator core{coordinator_options{}, sink, clock::now()};
    no_claims claims;
    failing_observer observer;
    std::atomic<bool> ready{true};
    frontend_services services{core, claims, observer, ready, [] { return std::string{}; }, {}};
    native_server server{io, services};
    std::thread thread;
};

class test_caller
{
public:
    explicit test_caller(const server_fixture& target)
    {
        socket_.connect({asio::ip::make_address("127.0.0.1"), target.server.port()});
    }

    void send(std::string_view bytes)
    {
        asio::write(socket_, asio::buffer(bytes.data(), bytes.size()));
    }

    /// Reads until the server closes the connection; `end` says how it did.
    std::string read_all()
    {
        std::string result;
        asio::read(socket_, asio::dynamic_buffer(result), end);
        return result;
    }

    boost::system::error_code end;

private:
    asio::io_context io_{1};
    tcp::socket socket_{io_};
};

using callers = std::vector<std::unique_ptr<test_caller>>;

callers connect(const server_fixture& target)
{
    callers result;
    for (std::size_t n = 0; n != caller_count; ++n)
    {
        result.push_back(std::make_unique<test_caller>(target));
    }
    return result;
}

void send_each(const callers& all, std::string_view bytes)
{
    for (const auto& it : all)
    {
        it->send(bytes);
    }
}

std::size_t count_answered(const callers& all)
{
    std::size_t result = 0;
    for (const auto& it : all)
    {
        result += it->read_all().starts_with("HTTP/1.1 200") ? 1U : 0U;
    }
    return result;
}

} // namespace

TEST_CASE("a native server that is paused past a deadline of its callers")
{
    server_fixture target;
    const auto all = connect(target);

    SUBCASE("answers the requests that arrived meanwhile on idle connections")
    {
        std::this_thread::sleep_for(idle_timeout / 2);
        target.pause(idle_timeout * 2);
        std::this_thread::sleep_for(idle_timeout);
        send_each(all, health_request);
        CHECK(count_answered(all) == all.size());
    }
    SUBCASE("answers the requests whose rest arrived meanwhile")
    {
        send_each(all, request_with_body.substr(0, request_with_body.size() - 2));
        std::this_thread::sleep_for(header_timeout / 2);
        target.pause(header_timeout * 2);
        std::this_thread::sleep_for(header_timeout);
        send_each(all, request_with_body.substr(request_with_body.size() - 2));
        CHECK(count_answered(all) == all.size());
    }
}

TEST_CASE("a native server still closes the connections of callers that send nothing")
{
    server_fixture target;
    test_caller caller{target};
    const auto started_at = clock::now();

    SUBCASE("at all")
    {
        CHECK(caller.read_all().empty());
    }
    SUBCASE("after a part of a request")
    {
        caller.send(request_with_body.substr(0, request_with_body.size() - 2));
        CHECK(caller.read_all().empty());
    }
    CHECK(clock::now() - started_at >= idle_timeout);
    CHECK(clock::now() - started_at < idle_timeout * 5);
}

TEST_CASE("a native server that refuses a request without reading all of it")
{
    // Closing with unread bytes resets the connection: the caller can lose the refusal, and gets an
    // error when it sends the rest.
    server_fixture target;
    test_caller caller{target};
    caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\n" +
                std::string(50000, 'x'));
    std::this_thread::sleep_for(milliseconds{100});
    CHECK_NOTHROW(caller.send(std::string(50000, 'x')));
    CHECK(caller.read_all().starts_with("HTTP/1.1 413"));
    CHECK(caller.end == asio::error::eof);
}

TEST_CASE("a native server whose work on a request ends by an exception")
{
    server_fixture target;
    std::atomic<int> reports{0};
    task_monitor_of(target.io).on_failure([&](std::string_view, std::string_view) { ++reports; });
    target.observer.fails = true;
    test_caller caller{target};
    caller.send("GET /services/ventanilla/status HTTP/1.1\r\nHost: a\r\n\r\n");

    SUBCASE("answers it, reports the exception and closes the connection in order")
    {
        CHECK(caller.read_all().starts_with("HTTP/1.1 500"));
        CHECK(caller.end == asio::error::eof);
        CHECK(reports == 1);
    }
}

// Tests of the connection pool to the store. Guards against a timer that is believed before what
// has arrived: a response would be reported as lost although it waits in the socket.
#include "mangovane/store/http_pool.hpp"

#include <future>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/paused_context.hpp"
#include "mangovane/net/raw_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr milliseconds call_time{400};

/// For calls that connect; below the 1 s after which the kernel sends a connection request again.
constexpr milliseconds connect_time{850};
constexpr milliseconds kernel_retry_time{1000};

constexpr std::string_view answer_head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
constexpr std::string_view answer_body = "done";

using http_result = absl::StatusOr<http_response>;

/// A pool that runs on one thread.
struct pool_fixture
{
    explicit pool_fixture(const std::string& address)
        : pool{std::make_shared<http_pool>(io, address)}, thread{[this] { io.run(); }}
    {}
    ~pool_fixture()
    {
        io.stop();
        thread.join();
    }
    pool_fixture(const pool_fixture&) = delete;
    pool_fixture& operator=(const pool_fixture&) = delete;

    std::future<http_result> call(time_point deadline)
    {
        const auto done = std::make_shared<std::promise<http_result>>();
        pool->send({http::verb::get, "/v1/instances", 11}, deadline,
                   [done](http_result result) { done->set_value(std::move(result)); });
        return done->get_future();
    }

    asio::io_context io{1};
    asio::executor_work_guard<asio::io_context::executor_type> work{io.get_executor()};
    std::shared_ptr<http_pool> pool;
    std::thread thread;
};

bool is_answered(std::future<http_result>& call)
{
    const auto result = call.get();
    return result.ok() && *result == http_response{200, std::string{answer_body}};
}

} // namespace

TEST_CASE("a pool of connections to the store that is paused past the deadline of its calls")
{
    raw_endpoint store;
    pool_fixture fix{store.address()};
    const auto started_at = clock::now();
    std::vector<std::future<http_result>> calls;
    std::vector<raw_endpoint::socket> sockets;
    for (std::size_t n = 0; n != http_pool::max_connections; ++n)
    {
        calls.push_back(fix.call(started_at + call_time));
        sockets.push_back(store.accept_request());
    }
    const auto pause_until = started_at + call_time + milliseconds{50};

    SUBCASE("returns the responses that arrived meanwhile")
    {
        {
            const paused_context pause{fix.io, pause_until};
            for (auto& it : sockets)
            {
                send(it, std::string{answer_head} + std::string{answer_body});
            }
        }
        for (auto& it : calls)
        {
            CHECK(is_answered(it));
        }
    }
    SUBCASE("returns the responses whose rest arrived meanwhile")
    {
        for (auto& it : sockets)
        {
            send(it, answer_head);
        }
        std::this_thread::sleep_for(call_time / 2);
        {
            const paused_context pause{fix.io, pause_until};
            for (auto& it : sockets)
            {
                send(it, answer_body);
            }
        }
        for (auto& it : calls)
        {
            CHECK(is_answered(it));
        }
    }
    SUBCASE("reports that the deadline has passed if nothing has arrived")
    {
        for (auto& it : calls)
        {
            CHECK(absl::IsDeadlineExceeded(it.get().status()));
        }
        CHECK(clock::now() - started_at >= call_time);
        CHECK(clock::now() - started_at < call_time * 3);
    }
}

TEST_CASE("a pool that is paused while it connects to the store")
{
    full_endpoint store;
    pool_fixture fix{store.address()};
    const auto started_at = clock::now();
    auto call = fix.call(started_at + connect_time);

    SUBCASE("does not send the call after its deadline, although a connection was made meanwhile")
    {
        std::this_thread::sleep_for(connect_time / 2);
        store.make_room();
        {
            const paused_context pause{fix.io, started_at + connect_time + milliseconds{50}};
            std::this_thread::sleep_until(started_at + kernel_retry_time + milliseconds{200});
        }
        CHECK(absl::IsDeadlineExceeded(call.get().status()));
        CHECK(read_all(store.accept()).empty());
    }
}

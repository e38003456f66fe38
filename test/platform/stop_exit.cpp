// Guards against answers that a caller loses although they were written whole before the router
// ended: the kernel resets the connection of a socket that was closed when the caller sends more,
// and drops what the caller has not received.
#include <csignal>
#include <memory>
#include <thread>
#include <vector>

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

constexpr std::size_t caller_count = 40;
constexpr std::size_t large_body_bytes = std::size_t{200} * 1024;

/// Much less than a response, so that its end waits in the socket of the router.
constexpr int receive_bytes = 4 * 1024;

constexpr milliseconds drain_delay{300};
constexpr milliseconds grace_period{3000};
constexpr milliseconds time_to_register{1000};
constexpr milliseconds time_to_answer{300};
constexpr milliseconds read_timeout{4000};

/// Longer than a connection stays open after its last response has been received.
constexpr milliseconds pause_of_caller{800};

constexpr std::string_view close_field = "Connection: close\r\n";

using callers = std::vector<std::unique_ptr<raw_caller>>;

asio::awaitable<void> large_response(const request& req, reply& rep)
{
    const auto head =
        response_head(req, 200, absl::StrCat("Content-Length: ", large_body_bytes, "\r\n\r\n"));
    co_await rep.raw(head + std::string(large_body_bytes, 'x'));
    co_await rep.close();
}

/// Runs until the router ends the attempt.
asio::awaitable<void> endless_stream(const request& req, reply& rep)
{
    co_await rep.raw(response_head(req, 200, "\r\n"));
    for (int n = 1; rep.open(); ++n)
    {
        co_await rep.raw(absl::StrCat("id: ", n, "\ndata: x\n\n"));
        co_await rep.pause(milliseconds{100});
    }
}

callers connect(const router_fleet& fleet)
{
    callers result;
    for (std::size_t n = 0; n != caller_count; ++n)
    {
        result.push_back(std::make_unique<raw_caller>(fleet.address(0, 0), receive_bytes));
    }
    return result;
}

void send_each(const callers& all, const std::string& prefix, std::string_view fields = {})
{
    for (std::size_t n = 0; n != all.size(); ++n)
    {
        all[n]->send(request_text("GET", "status", absl::StrCat(prefix, n), std::string{fields}));
    }
}

bool is_whole(std::string_view text)
{
    return status_of(text) == 200 && text.size() > large_body_bytes;
}

std::size_t count_whole(const callers& all)
{
    std::size_t result = 0;
    for (const auto& it : all)
    {
        result += is_whole(it->read_all(read_timeout)) ? 1U : 0U;
    }
    return result;
}

/// Whether the connection of the caller accepts the bytes.
bool sends(raw_caller& caller, std::string_view bytes)
{
    try
    {
        caller.send(bytes);
        return true;
    }
    catch (const boost::system::system_error&)
    {
        return false;
    }
}

/// Reads 4 KB from each caller every 20 ms, and sends some bytes from time to time.
std::size_t count_whole_at_slow_callers(const callers& all)
{
    constexpr std::size_t part_bytes = std::size_t{4} * 1024;
    constexpr std::size_t rounds = 2 * large_body_bytes / part_bytes;
    constexpr std::size_t rounds_between_sends = 10;
    std::vector<std::string> texts(all.size());
    std::size_t failed_sends = 0;
    for (std::size_t round = 0; round != rounds; ++round)
    {
        std::this_thread::sleep_for(milliseconds{20});
        for (std::size_t n = 0; n != all.size(); ++n)
        {
            if (round % rounds_between_sends == 0 && !is_whole(texts[n]))
            {
                failed_sends += sends(*all[n], "GET ") ? 0U : 1U;
            }
            texts[n] += all[n]->read_some(part_bytes, milliseconds{1});
        }
    }
    CHECK(failed_sends == 0);
    std::size_t result = 0;
    for (const auto& it : texts)
    {
        result += is_whole(it) ? 1U : 0U;
    }
    return result;
}

} // namespace

TEST_CASE("a router that ends while callers still receive their answers")
{
    router_fleet fleet{1, {.drain_delay = drain_delay, .grace_period = grace_period}};
    REQUIRE(fleet.await_ready(0));
    const scripted_endpoint large{large_response};
    fleet.write_address("large", "ventanilla", large.address());
    std::this_thread::sleep_for(time_to_register);
    const auto all = connect(fleet);
    const auto signalled_at = [&]
    {
        fleet.processes[0]->signal(SIGTERM);
        return clock::now();
    };

    SUBCASE("after its last session")
    {
        SUBCASE("delivers an answer whose caller sends its next request during the close")
        {
            // The answers promised kept connections, which the stop then closes.
            send_each(all, "first-");
            std::this_thread::sleep_for(time_to_answer);
            signalled_at();
            std::this_thread::sleep_for(drain_delay + time_to_answer);
            send_each(all, "crossing-");
            std::this_thread::sleep_for(time_to_answer);
            CHECK(count_whole(all) == all.size());
            CHECK(large.started() == static_cast<int>(all.size()));
        }
        SUBCASE("delivers an answer whose caller has pipelined a request")
        {
            send_each(all, "first-", close_field);
            send_each(all, "unread-");
            std::this_thread::sleep_for(time_to_answer);
            signalled_at();
            std::this_thread::sleep_for(pause_of_caller);
            CHECK(count_whole(all) == all.size());
            CHECK(large.started() == static_cast<int>(all.size()));
        }
        SUBCASE("delivers an answer whose caller pauses, and sends more before it reads on")
        {
            signalled_at();
            std::this_thread::sleep_for(drain_delay / 2);
            send_each(all, "closing-");
            std::this_thread::sleep_for(pause_of_caller);
            send_each(all, "late-");
            std::this_thread::sleep_for(time_to_answer);
            CHECK(count_whole(all) == all.size());
            CHECK(large.started() == static_cast<int>(all.size()));
        }
        SUBCASE("delivers an answer whose caller reads slowly and sends more meanwhile")
        {
            signalled_at();
            std::this_thread::sleep_for(drain_delay / 2);
            send_each(all, "closing-");
            CHECK(count_whole_at_slow_callers(all) == all.size());
        }
        CHECK(fleet.processes[0]->wait(grace_period) == 0);
    }
    SUBCASE("at the end of the grace period")
    {
        const scripted_endpoint endless{endless_stream};
        fleet.write_address("endless", "dictamen", endless.address());
        std::this_thread::sleep_for(time_to_register);
        raw_caller holder{fleet.address(0, 0)};

        SUBCASE("delivers the answers that were written before, at any speed of their callers")
        {
            const auto stopped_at = signalled_at();
            std::this_thread::sleep_for(drain_delay / 2);
            // The only request in progress keeps the process until the end of the grace period: its
            // deadline is as long as its route allows.
            holder.send("POST /review/7 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: holder\r\n"
                        "Authorization: Bearer key-1\r\nX-Prefix-Hash: aa:100\r\n"
                        "Content-Length: 0\r\n\r\n");
            send_each(all, "closing-");
            std::this_thread::sleep_until(stopped_at + grace_period);
            CHECK(fleet.processes[0]->wait(grace_period) == 0);
            CHECK(count_whole(all) == all.size());
        }
    }
}

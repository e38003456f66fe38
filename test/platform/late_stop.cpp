// Guards against requests that a stopping router takes too late because its timers are late: a
// process that was paused, or waited for a core, finds the bytes of callers beside the deadline at
// which it was to take no more of them. What is passed on then is cut at the end of the grace
// period.
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/raw_caller.hpp"
#include "platform/router_fleet.hpp"
#include "platform/scripted_endpoint.hpp"
#include "platform/stop_outcome.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

constexpr std::size_t caller_count = 300; // More than one poll of the reactor returns (128).
constexpr milliseconds drain_delay{500};
constexpr milliseconds grace_period{3000};

/// From the stop signal to the end of the time in which an idle connection may still bring its
/// first request. The two parts add up to the bound without a margin.
constexpr milliseconds end_of_waits = drain_delay + milliseconds{500};

constexpr milliseconds work{2300}; ///< Ends after the grace period for a request that is late.
constexpr milliseconds event_interval{100};
constexpr milliseconds time_to_register{1000};

using callers = std::vector<std::unique_ptr<raw_caller>>;

asio::awaitable<void> long_stream(const request& req, reply& rep)
{
    rep.add_field("X-Attempt-Id", std::string{req["X-Attempt-Id"]});
    rep.add_field("X-Server-Signature", "s");
    co_await rep.start_chunks(200, "text/event-stream", {});
    for (int n = 1; event_interval * n <= work && rep.open(); ++n)
    {
        co_await rep.pause(event_interval);
        co_await rep.chunk(absl::StrCat("id: ", n, "\ndata: x\n\n"));
    }
    co_await rep.end_chunks();
}

} // namespace

TEST_CASE("a router whose timers are late while it stops")
{
    router_fleet fleet{1, {.drain_delay = drain_delay, .grace_period = grace_period}};
    REQUIRE(fleet.await_ready(0));
    const scripted_endpoint endpoint{long_stream};
    fleet.write_address("stream", "dictamen", endpoint.address());
    std::this_thread::sleep_for(time_to_register);
    callers all;
    const auto text_of = [](std::size_t n) {
        return request_text("POST", "review", absl::StrCat("late-", n),
                            "X-Prefix-Hash: aa:100\r\n");
    };
    for (std::size_t n = 0; n != caller_count; ++n)
    {
        all.push_back(std::make_unique<raw_caller>(fleet.address(0, 0)));
    }
    const auto signalled_at = [&]
    {
        fleet.processes[0]->signal(SIGTERM);
        return clock::now();
    }();
    const auto pause_between = [&](milliseconds from, milliseconds to, auto action)
    {
        std::this_thread::sleep_until(signalled_at + from);
        fleet.processes[0]->signal(SIGSTOP);
        std::this_thread::sleep_until(signalled_at + to - milliseconds{200});
        action();
        std::this_thread::sleep_until(signalled_at + to);
        fleet.processes[0]->signal(SIGCONT);
    };
    const auto send_each = [&](std::size_t first_byte)
    {
        for (std::size_t n = 0; n != all.size(); ++n)
        {
            all[n]->send(text_of(n).substr(first_byte));
        }
    };

    SUBCASE("because it is paused over the end of its wait for first requests")
    {
        pause_between(drain_delay + milliseconds{200}, end_of_waits + milliseconds{400},
                      [&] { send_each(0); });
    }
    SUBCASE("because it is paused over both the drain and the wait")
    {
        pause_between(drain_delay - milliseconds{200}, end_of_waits + milliseconds{400},
                      [&] { send_each(0); });
    }
    SUBCASE("because it is paused while the rest of a request arrives")
    {
        for (std::size_t n = 0; n != all.size(); ++n)
        {
            all[n]->send(text_of(n).substr(0, 20));
        }
        pause_between(drain_delay - milliseconds{200}, end_of_waits + milliseconds{400},
                      [&] { send_each(20); });
    }
    const auto counted = read_outcomes(all, grace_period * 2);
    MESSAGE(counted, ", passed on ", endpoint.started());
    CHECK(counted.cut == 0);
    CHECK(counted.unanswered == 0);
    CHECK(counted.whole + counted.refused == all.size());
    // A refusal states that the request was not run.
    CHECK(static_cast<std::size_t>(endpoint.started()) == counted.whole);
    CHECK(fleet.processes[0]->wait(grace_period) == 0);
}

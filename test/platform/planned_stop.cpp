// Guards against requests that are cut off by a planned stop although the instance, or the kernel
// for it, has accepted them: requests on connections that wait to be accepted, and heads that have
// arrived in part.
#include <csignal>
#include <fstream>
#include <thread>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/raw_caller.hpp"
#include "platform/router_fleet.hpp"
#include "platform/scratch_folder.hpp"
#include "platform/scripted_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

constexpr milliseconds event_interval{100};
constexpr milliseconds time_to_register{1000};
constexpr std::string_view end_of_stream = "0\r\n\r\n";

/// A stream with one event in each interval.
scripted_endpoint::script stream_for(milliseconds duration)
{
    return [duration](const request& req, reply& rep) -> asio::awaitable<void>
    {
        rep.add_field("X-Attempt-Id", std::string{req["X-Attempt-Id"]});
        rep.add_field("X-Server-Signature", "s");
        co_await rep.start_chunks(200, "text/event-stream", {});
        for (int n = 1; event_interval * n <= duration && rep.open(); ++n)
        {
            co_await rep.pause(event_interval);
            co_await rep.chunk(absl::StrCat("id: ", n, "\ndata: x\n\n"));
        }
        if (rep.open())
        {
            co_await rep.end_chunks();
        }
    };
}

/// First line of the file that has the text; empty if none has.
std::string line_with(const std::string& file, const std::string& text)
{
    std::ifstream in{file};
    for (std::string line; std::getline(in, line);)
    {
        if (line.find(text) != std::string::npos)
        {
            return line;
        }
    }
    return {};
}

std::string stream_request(const std::string& id)
{
    return request_text("POST", "review", id, "X-Prefix-Hash: aa:100\r\n");
}

} // namespace

TEST_CASE("a router that is stopped at once")
{
    router_fleet fleet{1, {.drain_delay = milliseconds{0}}};
    fleet.add_engine("plain-1", "ventanilla");
    REQUIRE(fleet.await_ready(0));
    std::vector<std::unique_ptr<raw_caller>> callers;
    const auto connect = [&](int count)
    {
        for (int n = 0; n != count; ++n)
        {
            callers.push_back(std::make_unique<raw_caller>(fleet.address(0, 0)));
        }
    };

    SUBCASE("answers the requests on connections that it had not accepted yet")
    {
        fleet.processes[0]->signal(SIGSTOP);
        connect(200);
        for (std::size_t n = 0; n != callers.size(); ++n)
        {
            callers[n]->send(request_text("POST", "grant", "waiting-" + std::to_string(n)));
        }
        fleet.processes[0]->signal(SIGTERM);
        fleet.processes[0]->signal(SIGCONT);
        std::size_t answered = 0;
        for (const auto& it : callers)
        {
            answered += status_of(it->read_all(milliseconds{4000})) != 0 ? 1U : 0U;
        }
        CHECK(answered == callers.size());
    }
    SUBCASE("answers the requests on connections that were idle, and those half received")
    {
        connect(100);
        for (std::size_t n = 0; n != callers.size(); ++n)
        {
            // Half of the callers send their first byte before the stop, the others nothing.
            callers[n]->send(n % 2 == 0 ? "P" : "");
        }
        std::this_thread::sleep_for(milliseconds{300});
        fleet.processes[0]->signal(SIGTERM);
        for (std::size_t n = 0; n != callers.size(); ++n)
        {
            const auto text = request_text("POST", "grant", "late-" + std::to_string(n));
            callers[n]->send(n % 2 == 0 ? text.substr(1) : text);
        }
        std::size_t answered = 0;
        for (const auto& it : callers)
        {
            answered += status_of(it->read_all(milliseconds{4000})) != 0 ? 1U : 0U;
        }
        CHECK(answered == callers.size());
    }
    CHECK(fleet.processes[0]->wait(milliseconds{8000}) == 0);
}

TEST_CASE("a router that stops with requests in progress")
{
    constexpr milliseconds grace_period{3000};
    constexpr milliseconds drain_delay{300};
    router_fleet fleet{1, {.drain_delay = drain_delay, .grace_period = grace_period}};
    REQUIRE(fleet.await_ready(0));

    SUBCASE("whose endpoint needs less than the grace period")
    {
        const scripted_endpoint endpoint{stream_for(milliseconds{1200})};
        fleet.write_address("stream", "dictamen", endpoint.address());
        std::this_thread::sleep_for(time_to_register);
        raw_caller caller{fleet.address(0, 0)};

        SUBCASE("completes one that was passed on before the stop signal")
        {
            caller.send(stream_request("before"));
            CHECK(eventually([&] { return endpoint.started() == 1; }, milliseconds{2000}));
            fleet.processes[0]->signal(SIGTERM);
            CHECK(caller.read_all(grace_period).ends_with(end_of_stream));
        }
        SUBCASE("completes one that arrives after the stop signal")
        {
            fleet.processes[0]->signal(SIGTERM);
            std::this_thread::sleep_for(drain_delay / 2);
            caller.send(stream_request("while-stopping"));
            CHECK(caller.read_all(grace_period).ends_with(end_of_stream));
        }
        SUBCASE("completes one whose rest arrives when no connection is accepted any more")
        {
            const auto text = stream_request("late-rest");
            caller.send(text.substr(0, 20));
            fleet.processes[0]->signal(SIGTERM);
            std::this_thread::sleep_for(drain_delay + milliseconds{300});
            CHECK_THROWS(raw_caller{fleet.address(0, 0)});
            caller.send(text.substr(20));
            CHECK(caller.read_all(grace_period).ends_with(end_of_stream));
        }
        CHECK(endpoint.started() == 1);
    }
    SUBCASE("whose endpoint needs longer than the grace period")
    {
        const scripted_endpoint endpoint{stream_for(grace_period * 2)};
        fleet.write_address("stream", "dictamen", endpoint.address());
        std::this_thread::sleep_for(time_to_register);
        raw_caller caller{fleet.address(0, 0)};
        fleet.processes[0]->signal(SIGTERM);
        std::this_thread::sleep_for(drain_delay / 2);

        SUBCASE("ends it at the end of the grace period, and not as if it were complete")
        {
            caller.send(stream_request("long"));
            const auto text = caller.read_all(grace_period * 2);
            CHECK(status_of(text) == 200);
            CHECK_FALSE(text.ends_with(end_of_stream));
        }
    }
    CHECK(fleet.processes[0]->wait(grace_period) == 0);
}

TEST_CASE("a router whose stop cuts requests")
{
    constexpr milliseconds grace_period{2000};
    constexpr std::size_t caller_count = 200;
    const scratch_folder folder{"planned-stop"};
    router_fleet fleet{1, {.log_folder = folder.path, .grace_period = grace_period}};
    const scripted_endpoint endpoint{stream_for(grace_period * 3)};
    fleet.write_address("stream", "dictamen", endpoint.address());
    REQUIRE(fleet.await_ready(0));
    std::this_thread::sleep_for(time_to_register);
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (std::size_t n = 0; n != caller_count; ++n)
    {
        callers.push_back(std::make_unique<raw_caller>(fleet.address(0, 0)));
        callers.back()->send(stream_request(absl::StrCat("long-", n)));
    }
    const auto all_started = [&] { return endpoint.started() == static_cast<int>(caller_count); };
    REQUIRE(eventually(all_started, milliseconds{4000}));
    fleet.processes[0]->signal(SIGTERM);
    CHECK(fleet.processes[0]->wait(grace_period * 2) == 0);

    SUBCASE("names each of them in its log, with its endpoint and when it was read")
    {
        std::size_t named = 0;
        for (std::size_t n = 0; n != caller_count; ++n)
        {
            const auto line = line_with(fleet.log_file(0),
                                        absl::StrCat("event=request_cut request=long-", n, " "));
            const bool whole = line.find(" endpoint=stream ") != std::string::npos &&
                               line.find(" read_after_ms=-") != std::string::npos;
            named += whole ? 1U : 0U;
        }
        CHECK(named == caller_count);
        CHECK(line_with(fleet.log_file(0), "event=stopped ")
                  .ends_with(absl::StrCat(" cut=", caller_count)));
    }
}

TEST_CASE("a router that is paused while its time to take connections ends")
{
    constexpr milliseconds drain_delay{500};
    constexpr std::size_t caller_count = 300; // More than one poll of the reactor returns (128).
    router_fleet fleet{1, {.drain_delay = drain_delay}};
    fleet.add_engine("plain-1", "ventanilla");
    REQUIRE(fleet.await_ready(0));
    std::this_thread::sleep_for(time_to_register);
    std::vector<std::unique_ptr<raw_caller>> callers;
    const auto send_all = [&](const std::string& prefix)
    {
        for (std::size_t n = 0; n != callers.size(); ++n)
        {
            callers[n]->send(request_text("GET", "status", absl::StrCat(prefix, n)));
        }
    };

    SUBCASE("answers the requests that arrived meanwhile on used connections")
    {
        for (std::size_t n = 0; n != caller_count; ++n)
        {
            callers.push_back(std::make_unique<raw_caller>(fleet.address(0, 0)));
        }
        send_all("first-");
        std::this_thread::sleep_for(time_to_register);
        fleet.processes[0]->signal(SIGTERM);
        std::this_thread::sleep_for(drain_delay / 2);
        fleet.processes[0]->signal(SIGSTOP);
        std::this_thread::sleep_for(drain_delay);
        send_all("second-");
        fleet.processes[0]->signal(SIGCONT);
        std::size_t answered = 0;
        for (const auto& it : callers)
        {
            const auto text = it->read_all(milliseconds{4000});
            answered += text.rfind("HTTP/1.1 ") != 0 && status_of(text) != 0 ? 1U : 0U;
        }
        CHECK(answered == callers.size());
    }
    CHECK(fleet.processes[0]->wait(milliseconds{8000}) == 0);
}

// Guards against timers that are believed before what has arrived: a process that was paused, or
// waited for a core, finds its timers expired and the data that came meanwhile unread.
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

/// More than one poll of the reactor returns (128), so that timers run between two polls.
constexpr std::size_t caller_count = 300;

/// Limits of the tests' configuration.
constexpr milliseconds idle_timeout{5000};
constexpr milliseconds header_timeout{1000};

constexpr milliseconds time_to_register{1000};
constexpr milliseconds answer_timeout{4000};
constexpr std::string_view close_field = "Connection: close\r\n";

using callers = std::vector<std::unique_ptr<raw_caller>>;

callers connect(const router_fleet& fleet, std::size_t count)
{
    callers result;
    for (std::size_t n = 0; n != count; ++n)
    {
        result.push_back(std::make_unique<raw_caller>(fleet.address(0, 0)));
    }
    return result;
}

std::string closing_request(const std::string& method, const std::string& route, std::size_t n)
{
    return request_text(method, route, absl::StrCat(route, "-", n), std::string{close_field});
}

/// Pauses the router, and waits until one of its timers has expired: the reactor then finds the
/// timers before the data that arrives later.
void pause(router_fleet& fleet)
{
    fleet.processes[0]->signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds{300});
}

std::size_t count_answered(const callers& all)
{
    std::size_t result = 0;
    for (const auto& it : all)
    {
        result += status_of(it->read_all(answer_timeout)) == 200 ? 1U : 0U;
    }
    return result;
}

/// Its first event comes while the router is paused.
asio::awaitable<void> answer_soon(const request& req, reply& rep)
{
    co_await rep.pause(milliseconds{150});
    co_await rep.raw(response_head(req, 200, "\r\nid: 1\ndata: x\n\n"));
    co_await rep.close();
}

} // namespace

TEST_CASE("a router that is paused past a deadline of its callers")
{
    router_fleet fleet{1};
    fleet.add_engine("plain-1", "ventanilla");
    REQUIRE(fleet.await_ready(0));
    std::this_thread::sleep_for(time_to_register);
    const auto all = connect(fleet, caller_count);

    SUBCASE("answers the requests that arrived meanwhile on idle connections")
    {
        std::this_thread::sleep_for(idle_timeout - milliseconds{1000});
        pause(fleet);
        for (std::size_t n = 0; n != all.size(); ++n)
        {
            all[n]->send(closing_request("GET", "status", n));
        }
        std::this_thread::sleep_for(milliseconds{1500});
        fleet.processes[0]->signal(SIGCONT);
        CHECK(count_answered(all) == all.size());
    }
    SUBCASE("answers the requests whose rest arrived meanwhile")
    {
        for (std::size_t n = 0; n != all.size(); ++n)
        {
            all[n]->send(closing_request("GET", "status", n).substr(0, 20));
        }
        std::this_thread::sleep_for(header_timeout / 4);
        pause(fleet);
        for (std::size_t n = 0; n != all.size(); ++n)
        {
            all[n]->send(closing_request("GET", "status", n).substr(20));
        }
        std::this_thread::sleep_for(header_timeout);
        fleet.processes[0]->signal(SIGCONT);
        CHECK(count_answered(all) == all.size());
    }
}

TEST_CASE("a router that is paused while endpoints answer in time")
{
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    const scripted_endpoint one{answer_soon};
    const scripted_endpoint two{answer_soon};
    fleet.write_address("one", "dictamen", one.address());
    fleet.write_address("two", "dictamen", two.address());
    std::this_thread::sleep_for(time_to_register);

    SUBCASE("sends no request to a second endpoint")
    {
        // The latency objective of the route is 500 ms.
        const auto all = connect(fleet, caller_count);
        for (std::size_t n = 0; n != all.size(); ++n)
        {
            all[n]->send(closing_request("POST", "rights", n));
        }
        std::this_thread::sleep_for(milliseconds{100});
        fleet.processes[0]->signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds{800});
        fleet.processes[0]->signal(SIGCONT);
        CHECK(count_answered(all) == all.size());
        CHECK(one.started() + two.started() <= static_cast<int>(all.size()));
    }
}

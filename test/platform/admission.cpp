// Admission by real processes. Guards against urgent callers that lose to others at a service
// without room, against refusals that are not true, and against requests that are held back where
// no deployment has asked for it.
#include <algorithm>
#include <cstdlib>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/router_fleet.hpp"
#include "platform/scripted_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

/// As the entries of the tests' endpoints state.
constexpr int slots = 8;

/// Of an endpoint for one request; below the time out of `status` (800 ms).
constexpr milliseconds work{250};

constexpr milliseconds time_to_register{1000};

/// Sets the option of admission for processes that are started in its lifetime.
struct admission_option
{
    explicit admission_option(const char* value) { ::setenv("MANGOVANE_ADMISSION", value, 1); }
    ~admission_option() { ::unsetenv("MANGOVANE_ADMISSION"); }
    admission_option(const admission_option&) = delete;
    admission_option& operator=(const admission_option&) = delete;
};

asio::awaitable<void> slow_work(const request& req, reply& rep)
{
    co_await rep.pause(work);
    co_await rep.raw(response_head(req, 200, "Content-Length: 4\r\n\r\ndone"));
    co_await rep.close();
}

asio::awaitable<void> slow_stream(const request& req, reply& rep)
{
    co_await rep.pause(work);
    co_await rep.raw(response_head(req, 200, "\r\nid: 1\ndata: x\n\n"));
    co_await rep.close();
}

/// Sends as many requests at the same moment, and returns their responses.
std::vector<http_response>
call_at_once(const router_fleet& fleet, const std::string& route, int count)
{
    std::vector<http_response> result(static_cast<std::size_t>(count));
    std::vector<std::thread> threads;
    for (int n = 0; n != count; ++n)
    {
        threads.emplace_back(
            [&fleet, &route, &result, n]
            {
                result[static_cast<std::size_t>(n)] =
                    fleet.call(0, "GET", route, absl::StrCat(route, "-", n));
            });
    }
    for (auto& it : threads)
    {
        it.join();
    }
    return result;
}

std::ptrdiff_t count_of(const std::vector<http_response>& responses, unsigned status)
{
    return std::count_if(responses.begin(), responses.end(),
                         [&](const http_response& it) { return it.status == status; });
}

std::string metrics_of(const router_fleet& fleet)
{
    return send(fleet.address(0, 2), {"GET", "/metrics", "", {}, milliseconds{1000}}).body;
}

} // namespace

TEST_CASE("callers of different urgency at a service without room")
{
    const admission_option option{"queue"};
    router_fleet fleet{1};
    REQUIRE(fleet.await_ready(0));
    const scripted_endpoint endpoint{slow_stream};
    fleet.write_address("only", "dictamen", endpoint.address());
    std::this_thread::sleep_for(time_to_register);

    // The routes `review` and `rights` have the urgencies 1 and 0.
    std::vector<http_response> less_urgent;
    std::thread others{[&] { less_urgent = call_at_once(fleet, "review", 8 * slots); }};
    std::this_thread::sleep_for(work / 2);
    const auto urgent = call_at_once(fleet, "rights", slots);
    others.join();
    CHECK(count_of(urgent, 200) == slots);
    CHECK(count_of(less_urgent, 503) > 0);
    CHECK(count_of(less_urgent, 200) > 0);
    CHECK(count_of(less_urgent, 200) + count_of(less_urgent, 503) == 8 * slots);
}

TEST_CASE("a burst at a service without room")
{
    constexpr int burst = 6 * slots;

    SUBCASE("with admission: what cannot be served in time is refused and never sent")
    {
        const admission_option option{"takeover,pressure"};
        router_fleet fleet{1};
        REQUIRE(fleet.await_ready(0));
        const scripted_endpoint endpoint{slow_work};
        fleet.write_address("only", "ventanilla", endpoint.address());
        std::this_thread::sleep_for(time_to_register);
        const auto responses = call_at_once(fleet, "status", burst);
        const auto refused = count_of(responses, 503);
        CHECK(refused > 0);
        CHECK(endpoint.started() <= burst - refused);
        for (const auto& it : responses)
        {
            const bool served_or_refused = it.status == 200 || it.has("overloaded");
            CHECK(served_or_refused);
        }
        const auto text = metrics_of(fleet);
        CHECK(text.find("mangovane_admission_refusals_total") != std::string::npos);
        CHECK(text.find("mangovane_admission_waiting 0\n") != std::string::npos);

        SUBCASE("and it is served again when the burst has passed")
        {
            CHECK(eventually([&] { return fleet.call(0, "GET", "status", "later").status == 200; },
                             seconds{5}));
        }
    }
    SUBCASE("without the option: all requests are sent as before")
    {
        router_fleet fleet{1};
        REQUIRE(fleet.await_ready(0));
        const scripted_endpoint endpoint{slow_work};
        fleet.write_address("only", "ventanilla", endpoint.address());
        std::this_thread::sleep_for(time_to_register);
        const auto responses = call_at_once(fleet, "status", burst);
        CHECK(count_of(responses, 200) == burst);
        CHECK(endpoint.started() == burst);
        CHECK(metrics_of(fleet).find("mangovane_admission") == std::string::npos);
    }
}

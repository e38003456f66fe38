// Guards against requests that crash endpoints one after the other: a part of their prompts makes
// each endpoint end that begins to answer them.
#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <thread>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

constexpr const char* crashing_part = "dead";

/// Time in which the instances must have learned from crashes (`contact_ms` of the users' pages).
constexpr milliseconds contact_time{3000};

/// Crashes after which requests of the kind may no longer reach endpoints.
constexpr int max_crashes = 5;

/// Requests that may still reach endpoints after that.
constexpr int max_late_arrivals = 3;

/// Longer than the time within which crashes count as one.
constexpr milliseconds request_interval{150};

/// Endpoints that crash when they begin to answer a request with the crashing part. A crashed one
/// is replaced by a new process under another name.
class fragile_endpoints
{
public:
    fragile_endpoints(router_fleet& fleet, int count) : fleet_{fleet}
    {
        for (int n = 0; n != count; ++n)
        {
            add();
        }
        replacer_ = std::thread{[this] { replace_crashed(); }};
    }
    ~fragile_endpoints()
    {
        stopping_ = true;
        replacer_.join();
    }
    fragile_endpoints(const fragile_endpoints&) = delete;
    fragile_endpoints& operator=(const fragile_endpoints&) = delete;

    [[nodiscard]] int crashes() const { return crashes_; }

    /// What endpoints send of the answer before they crash.
    void send_before_crash(std::string events) { before_crash_ = std::move(events); }

    /// Requests with the crashing part that have reached an endpoint.
    [[nodiscard]] int arrivals() const { return arrivals_; }

private:
    struct endpoint
    {
        std::string name;
        std::atomic<bool> crashed{false};
        std::unique_ptr<standin::hosted_server> host;
    };

    asio::awaitable<void> handle(endpoint& self, const request& req, reply& rep)
    {
        const std::string prompt{req["X-Prefix-Hash"]};
        if (prompt.find(crashing_part) != std::string::npos)
        {
            ++arrivals_;
            // Head first, as engines send it when they begin to process the prompt.
            co_await rep.raw(
                absl::StrCat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", std::string{req["X-Attempt-Id"]},
                             "\r\nX-Server-Signature: s\r\n\r\n"));
            if (!before_crash_.empty())
            {
                co_await rep.raw(before_crash_);
                co_await rep.pause(delay_after_events);
            }
            self.crashed = true;
            co_await rep.pause(std::chrono::minutes{10});
            co_return;
        }
        co_await rep.raw(
            absl::StrCat("HTTP/1.1 200 OK\r\nX-Attempt-Id: ", std::string{req["X-Attempt-Id"]},
                         "\r\nX-Server-Signature: s\r\n\r\n"));
        co_await rep.pause(milliseconds{5});
        co_await rep.raw("id: 1\ndata: done\n\n");
        co_await rep.close();
    }

    void add()
    {
        auto it = std::make_unique<endpoint>();
        it->name = absl::StrCat("engine-", ++started_);
        auto& self = *it;
        it->host = std::make_unique<standin::hosted_server>(
            [this, &self](const request& req, reply& rep) { return handle(self, req, rep); });
        fleet_.write_address(it->name, "dictamen", it->host->address());
        endpoints_.push_back(std::move(it));
    }

    void replace_crashed()
    {
        while (!stopping_)
        {
            std::this_thread::sleep_for(milliseconds{5});
            const auto found = std::find_if(endpoints_.begin(), endpoints_.end(),
                                            [](const auto& it) { return it->crashed.load(); });
            if (found == endpoints_.end())
            {
                continue;
            }
            ++crashes_;
            const auto name = (*found)->name;
            endpoints_.erase(found);
            fleet_.store.remove("servers", name);
            add();
        }
    }

    /// From the first bytes of an answer until the crash.
    static constexpr milliseconds delay_after_events{20};

    router_fleet& fleet_;
    std::string before_crash_; ///< Set before the first request.
    std::atomic<int> crashes_{0};
    std::atomic<int> arrivals_{0};
    std::atomic<bool> stopping_{false};
    int started_{0};
    std::vector<std::unique_ptr<endpoint>> endpoints_; ///< Changed by `replacer_` once it runs.
    std::thread replacer_;
};

http_response call_with_prompt(const router_fleet& fleet,
                               std::size_t router,
                               const std::string& route,
                               const std::string& id,
                               const std::string& part)
{
    http_request it;
    it.method = "POST";
    it.target = "/" + route + "/7";
    it.fields = {{"Host", "desk.example"},
                 {"X-Attempt-Id", id},
                 {"X-Deadline-Ms", "2500"},
                 {"Authorization", "Bearer key-1"},
                 {"X-Prefix-Hash", absl::StrCat("aa:500,", part, ":4000,", id, ":100")}};
    it.timeout = milliseconds{8000};
    return send(fleet.address(router, 0), it);
}

} // namespace

TEST_CASE("requests with a prompt part that crashes endpoints")
{
    constexpr std::size_t router_count = 3;
    router_fleet fleet{router_count};
    fragile_endpoints endpoints{fleet, 6};
    for (std::size_t n = 0; n != router_count; ++n)
    {
        REQUIRE(fleet.await_ready(n));
    }
    // Some come on a route whose requests are sent again after a failure.
    const auto send_crashing = [&](int n)
    {
        std::this_thread::sleep_for(request_interval);
        return call_with_prompt(fleet, static_cast<std::size_t>(n) % router_count,
                                n % 2 == 0 ? "review" : "rights", absl::StrCat("c", n),
                                crashing_part);
    };
    const auto send_sound = [&](int n)
    {
        return call_with_prompt(fleet, static_cast<std::size_t>(n) % router_count, "review",
                                absl::StrCat("f", n), absl::StrCat("b", n % 4));
    };
    int sent = 0;
    while (sent != 30 && endpoints.crashes() < max_crashes)
    {
        (void)send_sound(sent);
        (void)send_crashing(sent++);
    }
    std::this_thread::sleep_for(contact_time);

    SUBCASE("no longer reach endpoints at any instance, and others of their caller are served")
    {
        const auto before = endpoints.arrivals();
        for (int n = 0; n != 12; ++n)
        {
            const auto response = send_crashing(sent + n);
            CHECK((response.status == 503 || response.status == 502 || response.status == 0));
            CHECK(send_sound(sent + n).status == 200);
        }
        CHECK(endpoints.arrivals() - before <= max_late_arrivals);
    }
    SUBCASE("reach no endpoint at an instance that was started afterwards, without the store")
    {
        fleet.store.set_faults({.down = true});
        fleet.processes[1]->signal(SIGKILL);
        CHECK(fleet.processes[1]->wait(milliseconds{5000}));
        fleet.start(1);
        REQUIRE(fleet.await_ready(1));
        std::this_thread::sleep_for(contact_time);
        const auto before = endpoints.arrivals();
        for (int n = 0; n != 6; ++n)
        {
            std::this_thread::sleep_for(request_interval);
            CHECK(
                call_with_prompt(fleet, 1, "review", absl::StrCat("r", n), crashing_part).status ==
                503);
        }
        CHECK(endpoints.arrivals() == before);
    }
}

TEST_CASE("requests that crash endpoints when they have begun to answer")
{
    // One whole event was taken as proof that the prompt was harmless, and endpoints crashed as
    // long as such requests came.
    struct beginning
    {
        const char* name;
        const char* events;
    };
    for (const auto& [name, events] :
         {beginning{"a few bytes", "id: 1\nda"}, beginning{"an event", "id: 1\ndata: x\n\n"},
          beginning{"an event and a half", "id: 1\ndata: x\n\nid: 2\n"},
          beginning{"three events", "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"}})
    {
        for (const std::string route : {"review", "rights"})
        {
            SUBCASE(absl::StrCat("on ", route, " after ", name).c_str())
            {
                router_fleet fleet{1};
                fragile_endpoints endpoints{fleet, 6};
                endpoints.send_before_crash(events);
                REQUIRE(fleet.await_ready(0));
                for (int n = 0; n != 20; ++n)
                {
                    std::this_thread::sleep_for(request_interval);
                    (void)call_with_prompt(fleet, 0, route, absl::StrCat("e", n), crashing_part);
                    CHECK(call_with_prompt(fleet, 0, "review", absl::StrCat("f", n), "b1").status ==
                          200);
                }
                CHECK(endpoints.crashes() <= max_crashes);
            }
        }
    }
}

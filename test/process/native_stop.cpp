// Guards against a stop of the native router that has no last moment: requests that it reads while
// it stops, or that wait in its queue, keep the process for as long as their own deadlines, and are
// cut without an answer when the process is ended from outside.
#include <csignal>
#include <cstdlib>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "platform/stop_outcome.hpp"
#include "process/child_process.hpp"
#include "process/fleet.hpp"
#include "process/http_client.hpp"
#include "process/native_router.hpp"

using namespace mangovane;
using namespace mangovane::test;

namespace
{

constexpr milliseconds drain_delay{500};
constexpr milliseconds grace_period{4000};
constexpr milliseconds long_deadline{12000};
constexpr milliseconds start_timeout{15000};
constexpr milliseconds stop_timeout{20000};
constexpr milliseconds read_timeout{15000};

/// From the beginning of a stream of the slow engine to its end: 0.3 s, then 12 tokens of 0.2 s.
constexpr milliseconds stream_time{2700};

/// Sets the grace period in the environment of the processes that are started meanwhile.
class grace_in_environment
{
public:
    grace_in_environment()
    {
        ::setenv("MANGOVANE_GRACE_MS", std::to_string(grace_period.count()).c_str(), 1);
    }
    ~grace_in_environment() { ::unsetenv("MANGOVANE_GRACE_MS"); }
    grace_in_environment(const grace_in_environment&) = delete;
    grace_in_environment& operator=(const grace_in_environment&) = delete;
};

/// `slots`: limit on the requests in progress at the engine; the others wait in the queue.
std::string services_with(int slots)
{
    return absl::StrCat(R"("dictamen": {"kind": "model", "models": ["dictamen-large"],
                            "ramp_start": 64, "max_in_flight": )",
                        slots, R"(}, "ventanilla": {"kind": "plain"})");
}

std::string request_head(std::string_view method, std::string_view target, milliseconds deadline)
{
    return absl::StrCat(std::string{method}, " ", std::string{target},
                        " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer secret\r\n"
                        "Mangovane-Deadline-Ms: ",
                        deadline.count(), "\r\n");
}

std::string stream_request(milliseconds deadline)
{
    const std::string body = R"({"model":"dictamen-large","stream":true,"messages":[]})";
    return absl::StrCat(request_head("POST", "/v1/chat/completions", deadline),
                        "Content-Length: ", body.size(), "\r\n\r\n", body);
}

std::string closing(std::string request)
{
    return request.insert(request.find("\r\n") + 2, "Connection: close\r\n");
}

std::string status_request(milliseconds deadline)
{
    return absl::StrCat(request_head("GET", "/services/ventanilla/status", deadline), "\r\n");
}

/// A router without a platform, a slow engine and a plain service.
class stopping_router
{
public:
    explicit stopping_router(int slots)
        : target{{services_with(slots),
                  {"dictamen/dictamen-0/bogota-a/" + engine_.address(),
                   "ventanilla/ventanilla-0/bogota-a/" + service_.address()},
                  drain_delay}}
    {
        const auto serves = [&](const std::string& request)
        {
            return eventually(
                [&]
                {
                    try
                    {
                        raw_caller caller{target.address};
                        caller.send(request);
                        return status_of(caller.read_all(milliseconds{1500})) == 200;
                    }
                    catch (const std::exception&)
                    {
                        return false; // It does not listen yet.
                    }
                },
                start_timeout);
        };
        REQUIRE(serves(closing(status_request(milliseconds{1000}))));
        REQUIRE(serves(closing(stream_request(milliseconds{1000}))));
        REQUIRE(send(engine_.address(), {"POST", "/fault", R"({"slow":true})", {}}).status == 200);
    }

    /// Streams that the engine has begun so far.
    [[nodiscard]] std::int64_t started() const
    {
        const auto response = send(engine_.address(), {"GET", "/mangovane/load", {}, {}});
        return boost::json::parse(response.body).at("total").to_number<std::int64_t>();
    }

private:
    const grace_in_environment grace_;
    child_process engine_{{"mangovane-standin", "engine", "--warm-after", "0", "--tokens", "12",
                           "--token-ms", "20", "--first-ms", "30", "--uncached-ms", "30"},
                          true};
    child_process service_{{"mangovane-standin", "service"}, true};

public:
    native_router target;
};

using callers = std::vector<std::unique_ptr<raw_caller>>;

callers send_streams(const stopping_router& router, std::int64_t count)
{
    callers result;
    for (std::int64_t n = 0; n != count; ++n)
    {
        result.push_back(std::make_unique<raw_caller>(router.target.address));
        result.back()->send(stream_request(long_deadline));
    }
    return result;
}

} // namespace

TEST_CASE("a native router that stops with long streams on kept connections")
{
    constexpr std::size_t caller_count = 3;
    // Slow streams take 0.1 s and 8 tokens of 0.3 s.
    const grace_in_environment grace;
    fleet target{{.routers = 2, .engines = 3, .services = 1, .token_interval = milliseconds{30}}};
    target.slow_engines_down();
    const auto started_first = target.chats_started();
    callers all;
    for (std::size_t n = 0; n != caller_count; ++n)
    {
        all.push_back(std::make_unique<raw_caller>(target.router_address(0)));
        all.back()->send(stream_request(long_deadline));
    }
    REQUIRE(eventually([&] { return target.chats_started() == started_first + caller_count; },
                       start_timeout));
    target.router(0).signal(SIGTERM);
    const auto stopped_at = clock::now();
    // Each caller uses its connection again as soon as its stream has ended, which is later than
    // the router takes connections.
    const auto send_next = [&](const std::string& request)
    {
        std::vector<std::string> texts(all.size());
        std::vector<std::thread> threads;
        for (std::size_t n = 0; n != all.size(); ++n)
        {
            threads.emplace_back(
                [&, n]
                {
                    static_cast<void>(all[n]->read_until(end_of_stream, read_timeout));
                    all[n]->send(request);
                    texts[n] = all[n]->read_all(read_timeout);
                });
        }
        for (auto& it : threads)
        {
            it.join();
        }
        return texts;
    };

    SUBCASE("refuses at once the next one, whose deadline is later than the end of the process")
    {
        stop_outcomes counted;
        for (const auto& it : send_next(stream_request(long_deadline)))
        {
            counted.add(it);
        }
        const auto passed_on = target.chats_started() - started_first - caller_count;
        MESSAGE(counted, ", passed on ", passed_on);
        CHECK(counted == stop_outcomes{.refused = caller_count});
        CHECK(passed_on == 0);
    }
    SUBCASE("serves a short one, whose deadline ends before the process")
    {
        for (const auto& it : send_next(status_request(milliseconds{500})))
        {
            CHECK(it.ends_with(R"({"status":"ok"})"));
        }
    }
    CHECK(target.router(0).wait(stop_timeout) == 0);
    const auto ms = std::chrono::duration_cast<milliseconds>(clock::now() - stopped_at);
    MESSAGE("ended after ms ", ms.count());
    CHECK(ms <= grace_period);
}

TEST_CASE("a native router that stops while requests wait in its queue")
{
    constexpr std::int64_t caller_count = 6;
    constexpr std::int64_t slots = 2;
    stopping_router router{slots};
    const auto started_before = router.started();
    const auto all = send_streams(router, caller_count);
    REQUIRE(eventually([&] { return router.started() == started_before + slots; }, start_timeout));
    std::this_thread::sleep_for(stream_time / 4);
    router.target.process->signal(SIGTERM);
    const auto stopped_at = clock::now();

    SUBCASE("answers each of them until the end of its grace period")
    {
        const auto counted = read_outcomes(all, read_timeout);
        const auto passed_on = router.started() - started_before;
        MESSAGE(counted, ", passed on ", passed_on);
        CHECK(counted.unanswered == 0);
        CHECK(counted.whole >= static_cast<std::size_t>(slots));
        // A refusal states that the request was not run, and those that never were are told so.
        CHECK(static_cast<std::int64_t>(counted.refused) == caller_count - passed_on);
    }
    CHECK(router.target.process->wait(stop_timeout) == 0);
    const auto ms = std::chrono::duration_cast<milliseconds>(clock::now() - stopped_at);
    MESSAGE("ended after ms ", ms.count());
    CHECK(ms <= grace_period);
}

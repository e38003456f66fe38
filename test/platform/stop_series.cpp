// Guards against requests that are lost when several routers stop one after the other: callers with
// work longer than the drain delay use their kept connections until these end, and move on to the
// next router, which may be stopping too.
#include <atomic>
#include <csignal>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "mangovane/core/hash.hpp"
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

constexpr std::size_t router_count = 3;
constexpr std::size_t endpoint_count = 4;
constexpr std::size_t caller_count = 24;
constexpr std::uint32_t seed = 39;

constexpr milliseconds drain_delay{500};
constexpr milliseconds grace_period{3000};
constexpr milliseconds gap_between_stops{1200};
constexpr milliseconds time_before_stops{1000};

/// A request that was sent no later than this after the stop signal may be cut if its endpoint is
/// still at work in the last sixth of the grace period.
constexpr milliseconds admitted_without_loss = grace_period * 3 / 8;
constexpr milliseconds begin_of_last_sixth = grace_period * 5 / 6;

/// Of the requests; the work of their endpoints is shorter.
constexpr milliseconds deadline{2500};
constexpr milliseconds min_work{200};
constexpr milliseconds max_work{2300};
constexpr milliseconds event_interval{100};

constexpr milliseconds max_think_time{300};
constexpr milliseconds reconnect_delay{30};
constexpr milliseconds time_to_register{1000};
constexpr milliseconds read_timeout{6000};
constexpr milliseconds exit_timeout{6000};

/// A connection that ends sooner after the last byte of a request may have crossed it.
constexpr milliseconds crossing_slack{200};

/// Requests that endpoints have begun to work on.
class run_record
{
public:
    void add(const std::string& id)
    {
        const std::lock_guard lock{mutex_};
        ++runs_[id];
    }
    [[nodiscard]] int count(const std::string& id) const
    {
        const std::lock_guard lock{mutex_};
        const auto it = runs_.find(id);
        return it == runs_.end() ? 0 : it->second;
    }

private:
    mutable std::mutex mutex_;
    std::map<std::string, int> runs_; ///< Guarded by `mutex_`.
};

milliseconds work_of(const std::string& id)
{
    const auto spread = static_cast<std::uint64_t>((max_work - min_work).count());
    return min_work + milliseconds{static_cast<std::int64_t>(hash_bytes(id) % spread)};
}

/// A stream whose length depends on the request id; its end is a last chunk, or that of its
/// connection.
scripted_endpoint::script recorded_stream(run_record& runs, bool chunked)
{
    return [&runs, chunked](const request& req, reply& rep) -> asio::awaitable<void>
    {
        const std::string id{req["X-Attempt-Id"]};
        runs.add(id);
        const std::string framing = chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n";
        co_await rep.raw(response_head(req, 200, framing));
        const auto events = work_of(id) / event_interval;
        for (int n = 1; n <= events && rep.open(); ++n)
        {
            co_await rep.pause(event_interval);
            const auto event = absl::StrCat("id: ", n, "\ndata: x\n\n");
            if (chunked)
            {
                co_await rep.chunk(event);
            }
            else
            {
                co_await rep.raw(event);
            }
        }
        if (chunked && rep.open())
        {
            co_await rep.end_chunks();
        }
        else if (rep.open())
        {
            co_await rep.close();
        }
    };
}

/// What a caller has seen of a request.
struct request_fate
{
    std::string id;
    std::size_t router{0};
    time_point sent_at{}; ///< Of its last byte.
    time_point ended_at{};
    std::string text;

    [[nodiscard]] stop_outcomes outcome() const
    {
        stop_outcomes result;
        result.add(text);
        return result;
    }
};

/// Callers that use each connection until it ends, and then the next router.
class caller_group
{
public:
    explicit caller_group(const router_fleet& fleet) : fleet_{fleet}
    {
        for (std::size_t n = 0; n != caller_count; ++n)
        {
            threads_.emplace_back([this, n] { call_repeatedly(n); });
        }
    }
    caller_group(const caller_group&) = delete;
    caller_group& operator=(const caller_group&) = delete;
    ~caller_group() { stop(); }

    /// Ends each caller after its current request.
    void stop()
    {
        stopping_ = true;
        for (auto& it : threads_)
        {
            if (it.joinable())
            {
                it.join();
            }
        }
    }

    /// Complete after `stop`.
    [[nodiscard]] const std::vector<request_fate>& fates() const { return fates_; }

private:
    void call_repeatedly(std::size_t caller)
    {
        std::mt19937 random{seed + static_cast<std::uint32_t>(caller)};
        std::size_t router = caller % router_count;
        int requests = 0;
        while (!stopping_)
        {
            try
            {
                raw_caller connection{fleet_.address(router, 0)};
                bool keep = true;
                while (keep && !stopping_)
                {
                    std::this_thread::sleep_for(milliseconds{random() % max_think_time.count()});
                    keep = call(connection, router, absl::StrCat("c", caller, "-", ++requests));
                }
            }
            catch (const boost::system::system_error&)
            {
                // No connection is accepted, or it has ended before a request was sent on it.
            }
            router = (router + 1) % router_count;
            std::this_thread::sleep_for(reconnect_delay);
        }
    }

    /// Whether the connection can be used again.
    bool call(raw_caller& connection, std::size_t router, const std::string& id)
    {
        request_fate fate;
        fate.id = id;
        fate.router = router;
        connection.send(request_text("POST", "review", id, "X-Prefix-Hash: " + id + ":100\r\n"));
        fate.sent_at = clock::now();
        fate.text = connection.read_until("\r\n\r\n", read_timeout);
        const bool kept = fate.text.find("Connection: close") == std::string::npos;
        fate.text += status_of(fate.text) == 200
                         ? connection.read_until(end_of_stream, read_timeout)
                         : connection.read_until("}", read_timeout);
        fate.ended_at = clock::now();
        const bool whole = fate.outcome().whole == 1;
        const std::lock_guard lock{mutex_};
        fates_.push_back(std::move(fate));
        return whole && kept;
    }

    const router_fleet& fleet_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<request_fate> fates_; ///< Guarded by `mutex_`.
    std::vector<std::thread> threads_;
};

/// Whether a request without a whole answer is one that a planned stop may not lose. The signals
/// are those of its router.
bool is_lost(const request_fate& fate, int runs, const std::vector<time_point>& signals)
{
    const auto outcome = fate.outcome();
    const bool incomplete = outcome.cut + outcome.unanswered != 0;
    const bool late = fate.ended_at - fate.sent_at > crossing_slack;
    const bool deadline_reached = fate.ended_at - fate.sent_at >= deadline;
    bool excused = false;
    for (const auto it : signals)
    {
        const bool at_work_at_the_end =
            fate.ended_at >= it + begin_of_last_sixth && fate.ended_at <= it + grace_period;
        excused = excused || (at_work_at_the_end && fate.sent_at <= it + admitted_without_loss);
    }
    return incomplete && (runs != 0 || late) && !deadline_reached && !excused;
}

std::string describe(const request_fate& fate, int runs, const std::vector<time_point>& signals)
{
    const auto ms = [](auto time)
    { return std::chrono::duration_cast<milliseconds>(time).count(); };
    const auto signalled_at = signals.empty() ? fate.sent_at : signals.back();
    return absl::StrCat(fate.id, " router=", fate.router, " status=", status_of(fate.text),
                        " runs=", runs, " sent_ms=", ms(fate.sent_at - signalled_at),
                        " ended_ms=", ms(fate.ended_at - signalled_at),
                        " work_ms=", work_of(fate.id).count(), "\n");
}

} // namespace

TEST_CASE("three routers that stop one after the other")
{
    router_fleet fleet{router_count, {.drain_delay = drain_delay, .grace_period = grace_period}};
    run_record runs;
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    for (std::size_t n = 0; n != endpoint_count; ++n)
    {
        endpoints.push_back(std::make_unique<scripted_endpoint>(recorded_stream(runs, n % 2 == 0)));
        fleet.write_address(absl::StrCat("endpoint-", n), "dictamen", endpoints[n]->address());
    }
    for (std::size_t n = 0; n != router_count; ++n)
    {
        REQUIRE(fleet.await_ready(n));
    }
    std::this_thread::sleep_for(time_to_register);
    caller_group callers{fleet};
    std::this_thread::sleep_for(time_before_stops);

    std::vector<std::vector<time_point>> signals(router_count);
    std::string exit_codes;
    const auto stop = [&](std::size_t n)
    {
        fleet.processes[n]->signal(SIGTERM);
        signals[n].push_back(clock::now());
    };
    const auto restart = [&](std::size_t n)
    {
        absl::StrAppend(&exit_codes, fleet.processes[n]->wait(exit_timeout).value_or(-1), " ");
        fleet.start(n);
        CHECK(fleet.await_ready(n));
    };

    SUBCASE("lose no request of callers that move on, with stops that overlap")
    {
        stop(0);
        std::this_thread::sleep_for(gap_between_stops);
        stop(1);
        restart(0);
        stop(2);
        restart(1);
        restart(2);
    }
    callers.stop();
    stop_outcomes counted;
    std::string lost;
    std::string refused_yet_run;
    std::string run_twice;
    for (const auto& it : callers.fates())
    {
        const auto count = runs.count(it.id);
        counted.add(it.text);
        lost +=
            is_lost(it, count, signals[it.router]) ? describe(it, count, signals[it.router]) : "";
        refused_yet_run += it.outcome().refused != 0 && count != 0 ? it.id + " " : "";
        run_twice += count > 1 ? it.id + " " : "";
    }
    MESSAGE(counted);
    CHECK(exit_codes == "0 0 0 ");
    CHECK(counted.whole > callers.fates().size() / 2);
    CHECK(lost == "");
    CHECK(refused_yet_run == "");
    CHECK(run_twice == "");
}

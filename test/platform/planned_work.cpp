// Guards against requests that lose their answer around planned work on several instances: reloads,
// configuration versions, endpoints that drain and return, and a stop and restart of one instance
// after the other, close together and while callers keep using their connections.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <doctest/doctest.h>

#include "mangovane/core/hash.hpp"
#include "mangovane/net/address.hpp"
#include "mangovane/net/peek.hpp"
#include "platform/caller_timing.hpp"
#include "platform/raw_caller.hpp"
#include "platform/request_record.hpp"
#include "platform/router_fleet.hpp"
#include "platform/scratch_folder.hpp"
#include "platform/scripted_endpoint.hpp"
#include "platform/store_text.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using standin::reply;
using standin::request;

namespace
{

constexpr std::size_t router_count = 3;
constexpr std::size_t caller_count = 240;
constexpr std::size_t endpoints_per_service = 6;
constexpr int event_count = 4;
constexpr int action_count = 25;
constexpr int actions_between_stops = 8;
constexpr std::uint32_t plan_seed = 36;

constexpr milliseconds min_work{20};
constexpr milliseconds max_work{400};
constexpr milliseconds max_think_time{900};
constexpr milliseconds min_gap{50};
constexpr milliseconds max_gap{400};
constexpr milliseconds max_pause{300};
constexpr milliseconds reconnect_delay{50};
constexpr milliseconds time_to_register{1000};
constexpr milliseconds answer_timeout{6000};
constexpr milliseconds exit_timeout{8000};
constexpr milliseconds drain_delay{500};

milliseconds between(std::mt19937& random, milliseconds least, milliseconds most)
{
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>{least.count(), most.count()}(random)};
}

std::string complete_stream(const std::string& id)
{
    std::string result;
    for (int n = 1; n <= event_count; ++n)
    {
        absl::StrAppend(&result, "id: ", n, "\ndata: ", id, "-", n, "\n\n");
    }
    return result;
}

/// Answers after a time that depends on the request id: a stream for a prompt, else a short body.
scripted_endpoint::script recorded_work(run_record& runs)
{
    return [&runs](const request& req, reply& rep) -> asio::awaitable<void>
    {
        const std::string id{req["X-Attempt-Id"]};
        runs.add(id);
        const auto spread = static_cast<std::uint64_t>((max_work - min_work).count() + 1);
        const auto work =
            min_work + milliseconds{static_cast<std::int64_t>(hash_bytes(id) % spread)};
        rep.add_field("X-Attempt-Id", id);
        rep.add_field("X-Server-Signature", "s");
        if (req.count("X-Prefix-Hash") == 0)
        {
            co_await rep.pause(work);
            co_await rep.send(200, "done " + id);
            co_return;
        }
        co_await rep.start_chunks(200, "text/event-stream", {});
        for (int n = 1; n <= event_count && rep.open(); ++n)
        {
            co_await rep.pause(work / event_count);
            co_await rep.chunk(absl::StrCat("id: ", n, "\ndata: ", id, "-", n, "\n\n"));
        }
        co_await rep.end_chunks();
    };
}

/// A kind of request of the tests' configuration.
struct request_kind
{
    const char* method;
    const char* route;
    bool stream;
    bool runs_once; ///< It must not be repeated.
};

constexpr request_kind kinds[]{{"POST", "grant", false, true},
                               {"GET", "status", false, false},
                               {"POST", "review", true, true},
                               {"POST", "rights", true, false}};

/// A request of a caller and what became of it.
struct finished_call
{
    const request_kind* kind{nullptr};
    request_fate fate;
};

/// Callers that use their connections for one request after the other, until they are stopped.
class caller_group
{
public:
    explicit caller_group(const router_fleet& fleet) : fleet_{fleet}
    {
        for (std::size_t n = 0; n != caller_count; ++n)
        {
            asio::co_spawn(io_, call_repeatedly(n), asio::detached);
        }
        asio::co_spawn(io_, lag_.run(), asio::detached);
        thread_ = std::thread{[this] { io_.run(); }};
    }
    caller_group(const caller_group&) = delete;
    caller_group& operator=(const caller_group&) = delete;
    ~caller_group() { stop(); }

    /// Ends each caller after its current request.
    void stop()
    {
        stopping_ = true;
        lag_.stop();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

    /// Both are complete after `stop`.
    [[nodiscard]] const std::vector<finished_call>& calls() const { return calls_; }
    [[nodiscard]] milliseconds max_lag() const { return lag_.max_lag(); }

private:
    asio::awaitable<void> call_repeatedly(std::size_t caller)
    {
        // Not in the coroutine's frame: GCC 12 on x86-64 takes the allocation of a frame of this
        // size for a mismatch with its deallocation (-Wmismatched-new-delete).
        const auto random =
            std::make_unique<std::mt19937>(static_cast<std::uint32_t>(caller) + plan_seed);
        std::size_t router = caller % router_count;
        int requests = 0;
        while (!stopping_)
        {
            beast::tcp_stream stream{io_};
            beast::error_code ec;
            co_await stream.async_connect(*parse_address(fleet_.address(router, 0)),
                                          asio::redirect_error(asio::use_awaitable, ec));
            beast::flat_buffer buf;
            for (bool keep = !ec; keep && !stopping_;)
            {
                const auto think_time = between(*random, milliseconds{0}, max_think_time);
                co_await sleep_until(clock::now() + think_time);
                if (peek(stream.socket()) == peek_result::closed)
                {
                    break;
                }
                finished_call it;
                it.fate.id = absl::StrCat("c", caller, "-", ++requests);
                it.kind = &kinds[(*random)() % std::size(kinds)];
                it.fate.route = it.kind->route;
                it.fate.router = router;
                keep = co_await call(stream, buf, it);
                calls_.push_back(std::move(it));
            }
            router = (router + 1) % router_count;
            co_await sleep_until(clock::now() + reconnect_delay);
        }
    }

    /// Whether the connection can be used again.
    asio::awaitable<bool>
    call(beast::tcp_stream& stream, beast::flat_buffer& buf, finished_call& it)
    {
        auto& fate = it.fate;
        const auto fields =
            it.kind->stream ? absl::StrCat("X-Prefix-Hash: ", fate.id, ":100\r\n") : std::string{};
        const auto text = request_text(it.kind->method, it.kind->route, fate.id, fields);
        beast::error_code ec;
        stream.expires_after(answer_timeout);
        co_await asio::async_write(stream, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, ec));
        fate.sent_at = clock::now();
        http::response_parser<http::string_body> p;
        if (!ec)
        {
            co_await http::async_read(stream, buf, p,
                                      asio::redirect_error(asio::use_awaitable, ec));
        }
        fate.ended_at = clock::now();
        fate.complete = !ec;
        fate.status = p.is_header_done() ? p.get().result_int() : 0;
        fate.body = p.get().body();
        fate.error = ec.message();
        co_return !ec && p.get().keep_alive();
    }

    const router_fleet& fleet_;
    asio::io_context io_{1};
    std::atomic<bool> stopping_{false};
    std::vector<finished_call> calls_;
    lag_meter lag_;
    std::thread thread_;
};

/// Planned work in a fixed series; each action starts whether or not the one before has ended.
class work_plan
{
public:
    work_plan(router_fleet& fleet,
              const std::vector<std::unique_ptr<scripted_endpoint>>& endpoints,
              bool pauses)
        : fleet_{fleet}, endpoints_{endpoints}, pauses_{pauses}
    {}

    void write_endpoint(std::size_t n, const std::string& state)
    {
        fleet_.store.put("servers", absl::StrCat("endpoint-", n),
                         entry_text({n % 2 == 0 ? "ventanilla" : "dictamen",
                                     endpoints_[n]->address(),
                                     "bogota-a",
                                     state,
                                     {}}));
    }

    void run()
    {
        for (int n = 1; n <= action_count; ++n)
        {
            if (n % actions_between_stops == 0 && stopped_ != router_count)
            {
                fleet_.processes[stopped_]->signal(SIGTERM);
                leaving_.push_back(stopped_++);
            }
            act();
            std::this_thread::sleep_for(between(random_, min_gap, max_gap));
            restart_stopped(milliseconds{1});
        }
        restart_stopped(exit_timeout);
    }

    /// Exit code of each router that was stopped, in the order of their ends.
    [[nodiscard]] const std::string& exit_codes() const { return exit_codes_; }

private:
    /// A random router; the one that leaves is included.
    [[nodiscard]] const child_process& any_router()
    {
        return *fleet_.processes[random_() % router_count];
    }

    void act()
    {
        const auto choice = random_() % (pauses_ ? 4 : 3);
        if (choice == 0)
        {
            any_router().signal(SIGHUP);
        }
        else if (choice == 1)
        {
            fleet_.store.put("op", "config", configuration_text({.version = ++version_}));
        }
        else if (choice == 2)
        {
            toggle_endpoint(random_() % endpoints_.size());
        }
        else
        {
            const auto& router = any_router();
            router.signal(SIGSTOP);
            std::this_thread::sleep_for(between(random_, min_gap, max_pause));
            router.signal(SIGCONT);
        }
    }

    /// At most one endpoint of each service drains at a time.
    void toggle_endpoint(std::size_t n)
    {
        auto& drained = drained_[n % 2];
        if (drained != none)
        {
            write_endpoint(std::exchange(drained, none), "ready");
            return;
        }
        drained = n;
        write_endpoint(n, "draining");
    }

    /// Waits up to `timeout` for each router that was told to stop, and starts those that ended.
    void restart_stopped(milliseconds timeout)
    {
        const auto has_restarted = [&](std::size_t n)
        {
            const auto code = fleet_.processes[n]->wait(timeout);
            if (code)
            {
                absl::StrAppend(&exit_codes_, *code, " ");
                fleet_.start(n);
                CHECK(fleet_.await_ready(n));
            }
            return code.has_value();
        };
        std::erase_if(leaving_, has_restarted);
    }

    static constexpr std::size_t none = endpoints_per_service * 2;

    router_fleet& fleet_;
    const std::vector<std::unique_ptr<scripted_endpoint>>& endpoints_;
    const bool pauses_;
    std::mt19937 random_{plan_seed};
    std::uint64_t version_{1};
    std::size_t drained_[2]{none, none}; ///< Of each service.
    std::size_t stopped_{0};             ///< Routers that were told to stop.
    std::vector<std::size_t> leaving_;   ///< Those that have not ended yet.
    std::string exit_codes_;
};

/// Requests that break a promise to their callers, by promise.
struct broken_promises
{
    std::string lost;            ///< No complete answer, and passed on or ended late.
    std::string run_twice;       ///< Must not be repeated.
    std::string refused_yet_run; ///< 503 states that the request was not executed.
    std::string other_answer;
};

broken_promises
judge(const router_fleet& fleet, const caller_group& callers, const run_record& runs)
{
    broken_promises result;
    const auto slack = crossing_slack + callers.max_lag();
    for (const auto& [kind, it] : callers.calls())
    {
        const auto count = runs.count(it.id);
        const auto expected = kind->stream ? complete_stream(it.id) : "done " + it.id;
        const bool late = it.ended_at - it.sent_at > slack;
        const auto note = [&](std::string& list, bool broken)
        { list += broken ? describe(fleet, it, count) : ""; };
        note(result.lost, !it.complete && (count != 0 || late));
        note(result.run_twice, kind->runs_once && count > 1);
        note(result.refused_yet_run, it.status == 503 && kind->runs_once && count != 0);
        note(result.other_answer, it.complete && it.status == 200 && it.body != expected);
    }
    return result;
}

} // namespace

TEST_CASE("three routers with planned work in series")
{
    bool pauses = false;
    SUBCASE("lose no answer")
    {
        pauses = false;
    }
    SUBCASE("lose no answer when the processes are paused in between")
    {
        pauses = true;
    }
    const scratch_folder folder{"planned-work"};
    router_fleet fleet{router_count, {.log_folder = folder.path, .drain_delay = drain_delay}};
    run_record runs;
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    for (std::size_t n = 0; n != endpoints_per_service * 2; ++n)
    {
        endpoints.push_back(std::make_unique<scripted_endpoint>(recorded_work(runs)));
    }
    work_plan plan{fleet, endpoints, pauses};
    for (std::size_t n = 0; n != endpoints.size(); ++n)
    {
        plan.write_endpoint(n, "ready");
    }
    for (std::size_t n = 0; n != router_count; ++n)
    {
        REQUIRE(fleet.await_ready(n));
    }
    std::this_thread::sleep_for(time_to_register);

    caller_group callers{fleet};
    plan.run();
    callers.stop();
    const auto broken = judge(fleet, callers, runs);
    const auto& calls = callers.calls();
    const auto count = [&](auto matches)
    { return std::count_if(calls.begin(), calls.end(), matches); };
    const auto served =
        count([](const auto& it) { return it.fate.complete && it.fate.status == 200; });
    const auto unanswered = count([](const auto& it) { return !it.fate.complete; });
    MESSAGE("requests ", calls.size(), ", served ", served, ", unanswered ", unanswered,
            ", lag ms ", callers.max_lag().count());
    CHECK(plan.exit_codes() == "0 0 0 ");
    CHECK(static_cast<std::size_t>(served) > calls.size() / 2);
    CHECK(broken.lost == "");
    CHECK(broken.run_twice == "");
    CHECK(broken.refused_yet_run == "");
    CHECK(broken.other_answer == "");
}

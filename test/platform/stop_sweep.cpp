// Guards against requests that a stopping router passes on and then cuts: work of every length up
// to the timeout of its route, sent at every time of the stop, on every kind of connection.
#include <algorithm>
#include <array>
#include <csignal>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <doctest/doctest.h>

#include "platform/request_record.hpp"
#include "platform/router_fleet.hpp"
#include "platform/scratch_folder.hpp"
#include "platform/scripted_endpoint.hpp"
#include "platform/stop_callers.hpp"
#include "platform/stop_plan.hpp"
#include "soak/busy_threads.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using standin::reply;
using standin::request;

namespace
{

constexpr std::size_t router_count = 3;
constexpr std::size_t endpoints_per_service = 3;
constexpr milliseconds time_to_register{1000};
constexpr milliseconds time_to_start_callers{200};
constexpr milliseconds time_after_exit{300}; ///< In which a request could still start.
constexpr milliseconds exit_timeout{12000};
constexpr milliseconds answer_timeout{15000}; ///< After the stop signal.

/// Grace period of the platform, of which the routers use less.
constexpr milliseconds platform_grace_period{8000};
/// A request that is sent later after the stop signal must not be cut once it was passed on.
constexpr milliseconds last_excused_sending = platform_grace_period * 3 / 8;
/// Work that still runs then may be cut.
constexpr milliseconds first_excused_cut = platform_grace_period * 5 / 6;

using requests_by_id = std::map<std::string, planned_request>;

requests_by_id index(const std::vector<planned_connection>& plan)
{
    requests_by_id result;
    for (const auto& it : plan)
    {
        result.emplace(it.request.id, it.request);
        if (it.earlier)
        {
            result.emplace(it.earlier->id, *it.earlier);
        }
    }
    return result;
}

asio::awaitable<void> start_answer(const request& req, reply& rep, answer_form form)
{
    if (form == answer_form::chunked)
    {
        rep.add_field("X-Attempt-Id", std::string{req["X-Attempt-Id"]});
        rep.add_field("X-Server-Signature", "s");
        co_await rep.start_chunks(200, "text/event-stream", {});
        co_return;
    }
    const auto length = answer_to(std::string{req["X-Attempt-Id"]}, req.body()).size();
    const auto framing = form == answer_form::sized ? absl::StrCat("Content-Length: ", length)
                                                    : std::string{"Connection: close"};
    auto head = response_head(
        req, 200, absl::StrCat("Content-Type: text/event-stream\r\n", framing, "\r\n\r\n"));
    co_await rep.raw(std::move(head));
}

/// Sends a part of the answer after each part of the work.
asio::awaitable<void> stream_answer(const request& req, reply& rep, const planned_request& plan)
{
    const std::string id{req["X-Attempt-Id"]};
    const auto started_at = clock::now();
    co_await start_answer(req, rep, plan.answer_framing);
    for (int n = 1; n <= answer_part_count && rep.open(); ++n)
    {
        co_await sleep_until(started_at + plan.work * n / answer_part_count);
        auto part = answer_part(id, req.body(), n);
        if (plan.answer_framing == answer_form::chunked)
        {
            co_await rep.chunk(std::move(part));
        }
        else
        {
            co_await rep.raw(std::move(part));
        }
    }
    if (plan.answer_framing == answer_form::chunked && rep.open())
    {
        co_await rep.end_chunks();
    }
    if (plan.answer_framing == answer_form::until_close)
    {
        co_await rep.close();
    }
}

scripted_endpoint::script planned_endpoint(const requests_by_id& plan, run_record& runs)
{
    return [&](const request& req, reply& rep) -> asio::awaitable<void>
    {
        const std::string id{req["X-Attempt-Id"]};
        runs.add(id);
        const auto& it = plan.at(id);
        if (it.answer_framing != answer_form::whole)
        {
            co_await stream_answer(req, rep, it);
            co_return;
        }
        co_await rep.pause(it.work);
        rep.add_field("X-Attempt-Id", id);
        rep.add_field("X-Server-Signature", "s");
        co_await rep.send(200, answer_to(id, req.body()));
    };
}

/// What became of the requests of one kind of connection and time of sending.
struct group_counts
{
    int requests{0};
    int sent{0}; ///< Whole.
    int served{0};
    int refused{0};
    int failed{0};
    int closed{0};  ///< Sent, not passed on, and the connection ended without an answer.
    int cut{0};     ///< Passed on, and the answer is not complete.
    int counted{0}; ///< Of these, those that must not be cut.

    auto operator<=>(const group_counts&) const = default;
};

/// How a request ended, in the terms of the promises to its caller.
struct request_verdict
{
    bool sent{false};
    bool ran{false};
    bool served{false};
    bool refused{false}; ///< The status states that the request was not executed.
    bool failed{false};  ///< Another 5xx.
    bool cut{false};     ///< Passed on, and the answer is not complete.
    bool excused{false}; ///< It may be cut.
    bool closed{false};  ///< Not passed on, and the connection ended without an answer.
    bool unread{false};  ///< Not passed on, and the connection ended late without an answer.

    auto operator<=>(const request_verdict&) const = default;
};

/// Requests that break a promise to their callers, by promise.
struct broken_promises
{
    std::string lost;            ///< No complete answer, and passed on or ended late.
    std::string failed;          ///< Ended with a 5xx although it must not be cut.
    std::string refused_early;   ///< Read before the router stopped taking requests.
    std::string refused_yet_run; ///< The status states that the request was not executed.
    std::string run_twice;
    std::string other_answer;
};

/// Judges each request by the promises of a planned stop.
class stop_judge
{
public:
    stop_judge(const router_fleet& fleet,
               const run_record& runs,
               std::vector<time_point> stopped_at,
               milliseconds lag)
        : fleet_{fleet}, runs_{runs}, stopped_at_{std::move(stopped_at)}, slack_{crossing_slack +
                                                                                 lag}
    {}

    void judge(const planned_connection& plan, const connection_fate& fate)
    {
        if (plan.earlier)
        {
            judge(plan, *plan.earlier, fate.earlier, true, "earlier stream");
        }
        const auto group =
            absl::StrCat(std::string{arrival_names[static_cast<std::size_t>(plan.kind)]}, " ",
                         std::string{sending_names[static_cast<std::size_t>(plan.when)]});
        judge(plan, plan.request, fate.request, fate.can_answer, group);
    }

    [[nodiscard]] const broken_promises& broken() const { return broken_; }

    [[nodiscard]] std::string table() const
    {
        std::string result =
            "\ngroup                  requests  sent served refused failed closed  cut counted";
        for (const auto& [name, it] : groups_)
        {
            absl::StrAppendFormat(&result, "\n%-22s %8d %5d %6d %7d %6d %6d %4d %7d", name,
                                  it.requests, it.sent, it.served, it.refused, it.failed, it.closed,
                                  it.cut, it.counted);
        }
        return result;
    }

private:
    static bool is_refusal(unsigned status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    [[nodiscard]] milliseconds after_stop(const request_fate& fate, time_point at) const
    {
        return std::chrono::duration_cast<milliseconds>(at - stopped_at_[fate.router]);
    }

    /// Whether the endpoint could not end its work in the time of the stop or of the request.
    [[nodiscard]] bool
    may_be_cut(const planned_request& plan, const request_fate& fate, const run_summary& runs) const
    {
        const auto deadline = plan.deadline.count() == 0 ? stop_route_timeout : plan.deadline;
        const auto worked_until = std::min(fate.ended_at, runs.first_started_at + plan.work);
        const bool outlasts_stop = after_stop(fate, fate.sent_at) <= last_excused_sending &&
                                   after_stop(fate, worked_until) >= first_excused_cut;
        return outlasts_stop || fate.ended_at >= runs.first_started_at + deadline;
    }

    [[nodiscard]] request_verdict
    assess(const planned_request& plan, const request_fate& fate, bool can_answer) const
    {
        const auto runs = runs_.summary(fate.id);
        const bool unanswered = fate.ended_at == time_point{}; // Until the callers gave up.
        const bool ended_late = can_answer && fate.ended_at - fate.sent_at > slack_;
        request_verdict result;
        result.sent = fate.sent_at != time_point{};
        result.ran = runs.count != 0;
        result.served = fate.complete && fate.status == 200;
        result.refused = is_refusal(fate.status);
        result.failed = fate.complete && fate.status >= 500 && !result.refused;
        result.cut = result.ran && !fate.complete;
        result.excused = result.ran && may_be_cut(plan, fate, runs);
        result.closed = result.sent && !result.ran && !fate.complete;
        result.unread = result.closed && (unanswered || ended_late);
        return result;
    }

    void count(const std::string& group, const request_verdict& verdict)
    {
        auto& it = groups_[group];
        ++it.requests;
        it.sent += verdict.sent ? 1 : 0;
        it.served += verdict.served ? 1 : 0;
        it.refused += verdict.refused ? 1 : 0;
        it.failed += verdict.failed ? 1 : 0;
        it.closed += verdict.closed ? 1 : 0;
        it.cut += verdict.cut ? 1 : 0;
        it.counted += verdict.cut && !verdict.excused ? 1 : 0;
    }

    /// Whether the router can have read the request while it took every request.
    [[nodiscard]] bool is_in_time(arrival kind, const request_fate& fate) const
    {
        return fate.sent_at != time_point{} && kind != arrival::pipelined &&
               after_stop(fate, fate.sent_at) < stop_drain_delay - slack_;
    }

    void judge(const planned_connection& connection,
               const planned_request& plan,
               const request_fate& fate,
               bool can_answer,
               const std::string& group)
    {
        const auto runs = runs_.summary(fate.id);
        const auto it = assess(plan, fate, can_answer);
        const bool other_status = fate.complete && !it.served && !it.refused && !it.failed;
        const bool other_body = it.served && fate.body != answer_to(plan.id, plan.body);
        count(group, it);
        const auto note = [&](std::string& list, bool broken)
        { list += broken ? "\n" + group + " " + describe(plan, fate, runs) : ""; };
        note(broken_.lost, it.unread || (it.cut && !it.excused));
        note(broken_.failed, it.failed && !it.excused);
        note(broken_.refused_early, it.refused && is_in_time(connection.kind, fate));
        note(broken_.refused_yet_run, it.refused && it.ran);
        note(broken_.run_twice, runs.count > 1);
        note(broken_.other_answer, other_status || other_body);
    }

    [[nodiscard]] std::string
    describe(const planned_request& plan, const request_fate& fate, const run_summary& runs) const
    {
        const auto answer = answer_names[static_cast<std::size_t>(plan.answer_framing)];
        const auto started = runs.count == 0
                                 ? std::string{"none"}
                                 : absl::StrCat(after_stop(fate, runs.first_started_at).count());
        return absl::StrCat("sent_ms=", after_stop(fate, fate.sent_at).count(),
                            " started_ms=", started,
                            " ended_ms=", after_stop(fate, fate.ended_at).count(),
                            " work_ms=", plan.work.count(), " deadline_ms=", plan.deadline.count(),
                            " answer=", absl::string_view{answer.data(), answer.size()}, " ",
                            test::describe(fleet_, fate, runs.count));
    }

    const router_fleet& fleet_;
    const run_record& runs_;
    const std::vector<time_point> stopped_at_; ///< Each router.
    const milliseconds slack_;
    std::map<std::string, group_counts> groups_;
    broken_promises broken_;
};

} // namespace

TEST_CASE("routers that stop cut no request that they could have refused or completed")
{
    std::uint32_t seed = 0;
    std::size_t busy_count = 0;
    SUBCASE("on idle cores")
    {
        seed = 39;
    }
    SUBCASE("beside busy threads")
    {
        seed = 40;
        busy_count = 4;
    }
    const auto plan = make_stop_plan(seed, router_count);
    const auto requests = index(plan);
    const scratch_folder folder{"stop-sweep"};
    run_record runs;
    std::vector<std::unique_ptr<scripted_endpoint>> endpoints;
    router_fleet fleet{router_count,
                       {.log_folder = folder.path,
                        .drain_delay = stop_drain_delay,
                        .grace_period = stop_grace_period,
                        .config = {.stream_timeout = stop_route_timeout,
                                   .call_timeout = stop_route_timeout,
                                   .header_timeout = stop_route_timeout}}};
    for (std::size_t n = 0; n != endpoints_per_service * 2; ++n)
    {
        endpoints.push_back(std::make_unique<scripted_endpoint>(planned_endpoint(requests, runs)));
        fleet.write_address(absl::StrCat("endpoint-", n), n % 2 == 0 ? "ventanilla" : "dictamen",
                            endpoints.back()->address());
    }
    for (std::size_t n = 0; n != router_count; ++n)
    {
        REQUIRE(fleet.await_ready(n));
    }
    std::this_thread::sleep_for(time_to_register);

    const soak::busy_threads busy{busy_count};
    const auto stop_at = clock::now() + time_to_start_callers + stop_lead_time;
    stop_callers callers{fleet, plan, stop_at, stop_at + answer_timeout};
    std::this_thread::sleep_until(stop_at);
    std::vector<time_point> stopped_at;
    for (const auto& it : fleet.processes)
    {
        stopped_at.push_back(clock::now());
        it->signal(SIGTERM);
    }
    for (const auto& it : fleet.processes)
    {
        CHECK(it->wait(exit_timeout) == 0);
    }
    callers.finish();
    std::this_thread::sleep_for(time_after_exit);

    stop_judge judge{fleet, runs, stopped_at, callers.max_lag()};
    for (std::size_t n = 0; n != plan.size(); ++n)
    {
        judge.judge(plan[n], callers.fates()[n]);
    }
    MESSAGE("seed ", seed, ", lag ms ", callers.max_lag().count(), judge.table());
    const auto& broken = judge.broken();
    CHECK(broken.lost == "");
    CHECK(broken.failed == "");
    CHECK(broken.refused_early == "");
    CHECK(broken.refused_yet_run == "");
    CHECK(broken.run_twice == "");
    CHECK(broken.other_answer == "");
}

// Implementation of a soak run.
#include "soak/run.hpp"

#include <algorithm>
#include <csignal>
#include <limits>
#include <set>
#include <thread>

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>

#include "soak/call_text.hpp"
#include "soak/caller.hpp"
#include "soak/change_checker.hpp"
#include "soak/fault_injector.hpp"
#include "soak/rollout_checker.hpp"

namespace mangovane::soak
{

namespace
{

constexpr milliseconds start_timeout{15000};
constexpr milliseconds poll_interval{25};
/// For the fault plan, including the restarts of routers.
constexpr milliseconds max_plan_time{60000};
constexpr milliseconds check_period{1000};
constexpr milliseconds calls_end_timeout{8000}; ///< For the calls in flight.
constexpr milliseconds settle_time{1000};       ///< For executions whose caller has abandoned them.
constexpr milliseconds stop_timeout{9000};

/// A longer delay of the main loop counts as a stall of the machine.
constexpr milliseconds stall_threshold{150};

/// Ratio of requests that must be served after the last fault.
constexpr double min_recovered_ratio = 0.25;
constexpr milliseconds recovery_window{3000};

/// One caller in this many leaves its connections idle in some of its waits.
constexpr std::size_t idle_caller_interval = 3;
constexpr std::size_t idle_percent = 33;

/// Connections of a burst, and calls on each.
constexpr std::size_t burst_connections = 300;
constexpr std::size_t burst_calls = 3;

/// Drain delay of routers by default. Runs of faults use a shorter one, so that more stops fit in.
constexpr milliseconds default_drain_delay{2500};

/// In a run of stops, two callers of three have long work. Half of these stay at one router.
constexpr std::size_t short_caller_interval = 3;

/// Threads that run the proxies and callers.
class io_threads
{
public:
    explicit io_threads(std::size_t count) : guard_{io.get_executor()}
    {
        for (std::size_t n = 0; n != count; ++n)
        {
            threads_.emplace_back([this] { io.run(); });
        }
    }
    ~io_threads()
    {
        io.stop();
        for (auto& it : threads_)
        {
            it.join();
        }
    }
    io_threads(const io_threads&) = delete;
    io_threads& operator=(const io_threads&) = delete;

    boost::asio::io_context io;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard_;
    std::vector<std::thread> threads_;
};

/// State of the run of one seed.
class soak_run
{
public:
    soak_run(std::uint64_t seed, const soak_options& options)
        : kind_{options.kind}, plan_{plan_of(seed, options)},
          fleet_{threads_.io, deployment_of(options), recorder_}, faults_{fleet_, recorder_, plan_}
    {
        for (auto* it : fleet_.endpoints())
        {
            it->link().set(options.injected);
        }
        const auto routers = options.deployment.routers;
        for (std::size_t n = 0; n != options.callers + routers; ++n)
        {
            const auto probed_router = n < routers ? std::optional{n} : std::nullopt;
            caller_options its{n, seed * 1000 + n, probed_router};
            its.probes_removed = kind_ == soak_kind::changes;
            its.idle_percent = n % idle_caller_interval == 0 ? idle_percent : 0;
            if (kind_ == soak_kind::stops && !probed_router && n % short_caller_interval != 0)
            {
                set_long_work(its, routers);
            }
            callers_.push_back(
                std::make_shared<caller>(threads_.io, its, fleet_, recorder_, stopping_));
        }
        for (const auto& it : plan_.events)
        {
            add_burst(it, seed);
        }
    }

    soak_result run_seed()
    {
        if (!start())
        {
            violations_.insert({"start", "a router did not become ready after its start"});
            return result();
        }
        run_plan();
        check_exits();
        check_recovery();
        // Runs of stops end with one under load, since callers use open connections until the
        // process is gone.
        if (kind_ == soak_kind::stops)
        {
            stop_routers();
            stop_callers();
        }
        else
        {
            stop_callers();
            stop_routers();
        }
        check_now();
        return result();
    }

private:
    static deployment_options deployment_of(const soak_options& options)
    {
        auto result = options.deployment;
        if (options.kind == soak_kind::stops)
        {
            result.drain_delay = default_drain_delay;
        }
        if (options.kind == soak_kind::changes)
        {
            result.replaces_parts = true;
            result.rollouts = true;
            result.header_bytes = uncontrolled_header_bytes;
        }
        return result;
    }

    static void set_long_work(caller_options& options, std::size_t routers)
    {
        options.long_work = true;
        options.calls_per_connection = std::numeric_limits<std::size_t>::max();
        if (options.number % 2 == 0)
        {
            options.home_router = options.number / 2 % routers;
        }
    }

    /// Adds the callers of a burst, which wait for its begin.
    void add_burst(const fault_event& event, std::uint64_t seed)
    {
        for (std::size_t n = 0; event.kind == fault_kind::call_burst && n != burst_connections; ++n)
        {
            caller_options options{callers_.size(), seed * 1000 + callers_.size(), std::nullopt};
            options.start_delay = event.from;
            options.max_connections = 1;
            options.calls_per_connection = burst_calls;
            options.idle_percent = 100;
            callers_.push_back(
                std::make_shared<caller>(threads_.io, options, fleet_, recorder_, stopping_));
        }
    }

    bool start()
    {
        const bool ready = test::eventually([this] { return all_ready(); }, start_timeout);
        for (const auto& it : callers_)
        {
            it->start();
        }
        return ready;
    }

    bool all_ready()
    {
        for (std::size_t n = 0; n != fleet_.routers().size(); ++n)
        {
            if (!fleet_.ready(n))
            {
                return false;
            }
        }
        return true;
    }

    void run_plan()
    {
        const auto started = clock::now();
        auto resumed_at = started;
        auto checked_at = started;
        while (faults_.advance(clock::now(), started) && clock::now() < started + max_plan_time)
        {
            const auto before = clock::now();
            std::this_thread::sleep_for(poll_interval);
            resumed_at = clock::now();
            if (resumed_at > before + poll_interval + stall_threshold)
            {
                recorder_.add_outage(machine_component, before, resumed_at);
            }
            if (resumed_at > checked_at + check_period)
            {
                check_now();
                checked_at = clock::now();
            }
        }
    }

    void check_now()
    {
        const auto observed = recorder_.collect(fleet_.executions());
        const invariant_checker it{observed};
        for (auto& found : it.all())
        {
            violations_.insert(std::move(found));
        }
        const change_checker changes{observed};
        for (auto& found : changes.all())
        {
            violations_.insert(std::move(found));
        }
        for (auto& found : rollout_checker{observed}.all())
        {
            violations_.insert(std::move(found));
        }
        timed_checks_ = it.timed_checks() + changes.timed_checks();
        closed_unread_ = it.closed_unread();
        at_stops_ = it.at_stops();
    }

    void check_exits()
    {
        for (const auto& [router, code] : faults_.unexpected_exits())
        {
            violations_.insert({"process_end", absl::StrCat("router ", router,
                                                            " ended by itself with code ", code)});
        }
    }

    /// Checks that calls are served again after all faults have ended.
    void check_recovery()
    {
        const auto from = clock::now();
        std::this_thread::sleep_for(recovery_window);
        std::size_t attempted = 0;
        std::size_t served = 0;
        for (const auto& it : recorder_.calls())
        {
            const bool counts = it.written_at >= from && !it.abandoned;
            attempted += counts ? 1 : 0;
            served += counts && it.status == 200 && it.complete ? 1 : 0;
        }
        if (static_cast<double>(served) < min_recovered_ratio * static_cast<double>(attempted))
        {
            violations_.insert(
                {"recovery", absl::StrCat(served, " of ", attempted,
                                          " requests served after all faults had ended")});
        }
        if (!all_ready())
        {
            violations_.insert(
                {"recovery", "a router is not ready although all faults have ended"});
        }
    }

    void stop_callers()
    {
        stopping_ = true;
        const auto ended = [this]
        {
            return std::all_of(callers_.begin(), callers_.end(),
                               [](const auto& it) { return it->ended(); });
        };
        if (!test::eventually(ended, calls_end_timeout))
        {
            violations_.insert({"end", "a call did not end within the timeout"});
        }
        std::this_thread::sleep_for(settle_time);
    }

    void stop_routers()
    {
        faults_.stop_all_routers();
        for (const auto& it : fleet_.routers())
        {
            const auto code = it->process->wait(stop_timeout);
            if (code != 0)
            {
                violations_.insert(
                    {"graceful_stop", code ? absl::StrCat("a router exited with code ", *code)
                                           : "a router did not exit within the timeout"});
            }
        }
    }

    soak_result result() const
    {
        soak_result out;
        out.violations.assign(violations_.begin(), violations_.end());
        const auto calls = recorder_.calls();
        out.calls = calls.size();
        out.served = static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(),
                          [](const call_record& it) { return it.status == 200 && it.complete; }));
        out.runs = fleet_.executions().size();
        out.timed_checks = timed_checks_;
        out.closed_unread = closed_unread_;
        out.at_stops = at_stops_;
        return out;
    }

    const soak_kind kind_;
    const fault_plan plan_;
    observation_recorder recorder_;
    std::atomic<bool> stopping_{false};
    io_threads threads_{2};
    deployment fleet_;
    fault_injector faults_;
    std::vector<std::shared_ptr<caller>> callers_;
    std::set<violation> violations_;
    std::size_t timed_checks_{0};
    std::size_t closed_unread_{0};
    stop_counts at_stops_;
};

} // namespace

fault_plan plan_of(std::uint64_t seed, const soak_options& options)
{
    switch (options.kind)
    {
    case soak_kind::stops:
        return make_stop_plan(seed, options.faults, options.deployment.routers);
    case soak_kind::changes:
        return make_change_plan(seed, options.faults);
    default:
        return make_plan(seed, options.faults, options.brief);
    }
}

soak_result run_seed(std::uint64_t seed, const soak_options& options)
{
    return soak_run{seed, options}.run_seed();
}

} // namespace mangovane::soak

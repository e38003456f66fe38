// Implementation of a run.
#include "soak/run.hpp"

#include <algorithm>
#include <csignal>
#include <set>
#include <thread>

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>

#include "soak/caller.hpp"
#include "soak/fault_injector.hpp"

namespace mangovane::soak
{

namespace
{

constexpr milliseconds start_limit{15000};
constexpr milliseconds step{25};
constexpr milliseconds longest_run{60000}; ///< A router that is not ready by then is reported.
constexpr milliseconds judge_period{1000};
constexpr milliseconds end_limit{8000};   ///< For the calls under way.
constexpr milliseconds settle_time{1000}; ///< For runs that nobody waits for any more.
constexpr milliseconds stop_limit{9000};

/// A longer step of this program means that the machine stood still.
constexpr milliseconds stall_limit{150};

/// After the last fault, the share of requests that must be served.
constexpr double recovered_share = 0.25;
constexpr milliseconds recovery_window{3000};

/// Threads that carry proxies and callers.
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

/// One seed with all that belongs to it.
class soak_run
{
public:
    soak_run(std::uint64_t seed, const soak_options& options)
        : fleet_{threads_.io, options.deployment, seen_},
          faults_{fleet_, seen_, make_plan(seed, options.faults, options.brief)}
    {
        for (auto* it : fleet_.endpoints())
        {
            it->link().set(options.planted);
        }
        const auto routers = options.deployment.routers;
        for (std::size_t n = 0; n != options.callers + routers; ++n)
        {
            const auto probes = n < routers ? std::optional{n} : std::nullopt;
            callers_.push_back(std::make_shared<caller>(
                threads_.io, caller_habits{n, seed * 1000 + n, probes}, fleet_, seen_, stopping_));
        }
    }

    soak_result play()
    {
        if (!start())
        {
            breaches_.insert({"start", "a router did not become ready"});
            return result();
        }
        run_plan();
        check_recovery();
        stop_callers();
        judge_now();
        stop_routers();
        return result();
    }

private:
    bool start()
    {
        const bool ready = test::eventually([this] { return all_ready(); }, start_limit);
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
        auto stepped = started;
        auto judged = started;
        while (faults_.advance(clock::now(), started) && clock::now() < started + longest_run)
        {
            const auto before = clock::now();
            std::this_thread::sleep_for(step);
            stepped = clock::now();
            if (stepped > before + step + stall_limit)
            {
                seen_.add_outage(everything, before, stepped);
            }
            if (stepped > judged + judge_period)
            {
                judge_now();
                judged = clock::now();
            }
        }
    }

    void judge_now()
    {
        const auto seen = seen_.collect(fleet_.runs());
        const judge it{seen};
        for (auto& found : it.all())
        {
            breaches_.insert(std::move(found));
        }
        timed_checks_ = it.timed_checks();
    }

    /// The last calls, after all faults are over, are served again.
    void check_recovery()
    {
        const auto from = clock::now();
        std::this_thread::sleep_for(recovery_window);
        std::size_t asked = 0;
        std::size_t served = 0;
        for (const auto& it : seen_.calls())
        {
            const bool counts = it.written_at >= from && !it.gave_up;
            asked += counts ? 1 : 0;
            served += counts && it.status == 200 && it.complete ? 1 : 0;
        }
        if (static_cast<double>(served) < recovered_share * static_cast<double>(asked))
        {
            breaches_.insert({"recovery", absl::StrCat(served, " of ", asked, " served")});
        }
        if (!all_ready())
        {
            breaches_.insert({"recovery", "a router is not ready after all faults"});
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
        if (!test::eventually(ended, end_limit))
        {
            breaches_.insert({"end", "a call did not end"});
        }
        std::this_thread::sleep_for(settle_time);
    }

    void stop_routers()
    {
        for (const auto& it : fleet_.routers())
        {
            it->process->signal(SIGTERM);
        }
        for (const auto& it : fleet_.routers())
        {
            const auto code = it->process->wait(stop_limit);
            if (code != 0)
            {
                breaches_.insert({"graceful_stop", code ? absl::StrCat("exit code ", *code)
                                                        : "a router did not end in time"});
            }
        }
    }

    soak_result result() const
    {
        soak_result out;
        out.breaches.assign(breaches_.begin(), breaches_.end());
        const auto calls = seen_.calls();
        out.calls = calls.size();
        out.served = static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(),
                          [](const call_record& it) { return it.status == 200 && it.complete; }));
        out.runs = fleet_.runs().size();
        out.timed_checks = timed_checks_;
        return out;
    }

    history seen_;
    std::atomic<bool> stopping_{false};
    io_threads threads_{2};
    deployment fleet_;
    fault_injector faults_;
    std::vector<std::shared_ptr<caller>> callers_;
    std::set<breach> breaches_;
    std::size_t timed_checks_{0};
};

} // namespace

soak_result play(std::uint64_t seed, const soak_options& options)
{
    return soak_run{seed, options}.play();
}

} // namespace mangovane::soak

// Implementation of the invariant checker.
#include "soak/invariant_checker.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <map>

#include <absl/strings/str_cat.h>

namespace mangovane::soak
{

namespace
{

/// Statuses which guarantee that a request has not run and will not run.
bool is_refusal(unsigned status)
{
    constexpr std::array refusals{408U, 421U, 429U, 503U};
    return std::find(refusals.begin(), refusals.end(), status) != refusals.end();
}

bool is_denial(unsigned status)
{
    return status >= 400 && status < 500 && !is_refusal(status);
}

bool is_success(unsigned status)
{
    return status / 100 == 2;
}

std::int64_t ms_between(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

milliseconds share_of(milliseconds time, double share)
{
    return std::chrono::duration_cast<milliseconds>(time * share);
}

/// Whether the call ended at its deadline or later.
bool has_expired(const call_record& it)
{
    return it.ended_at >= it.sending_at + it.deadline;
}

} // namespace

invariant_checker::invariant_checker(const run_observations& observed, invariant_bounds bounds)
    : observed_{observed}, bounds_{bounds}
{
    for (const auto& it : observed_.executions)
    {
        runs_[it.request].push_back(&it);
    }
    for (const auto& it : observed_.calls)
    {
        calls_[it.request] = &it;
    }
}

std::vector<violation> invariant_checker::all() const
{
    static constexpr std::array checks{
        &invariant_checker::check_single_run,    &invariant_checker::check_refusals,
        &invariant_checker::check_answers,       &invariant_checker::check_runs_as_sent,
        &invariant_checker::check_attempts,      &invariant_checker::check_denials,
        &invariant_checker::check_drains,        &invariant_checker::check_domains_out,
        &invariant_checker::check_configuration, &invariant_checker::check_load,
        &invariant_checker::check_versions_rise, &invariant_checker::check_cold,
        &invariant_checker::check_stops,         &invariant_checker::check_unanswered,
        &invariant_checker::check_lost_at_stops,
    };
    std::vector<violation> result;
    for (const auto check : checks)
    {
        (this->*check)(result);
    }
    return result;
}

const call_record* invariant_checker::call_of(const std::string& request) const
{
    const auto it = calls_.find(request);
    return it == calls_.end() ? nullptr : it->second;
}

void invariant_checker::check_single_run(std::vector<violation>& out) const
{
    for (const auto& [request, runs] : runs_)
    {
        const auto* call = call_of(request);
        if (call != nullptr && !may_repeat(call->kind) && runs.size() > 1)
        {
            out.push_back({"single_run", absl::StrCat(request, " ran ", runs.size(), " times")});
        }
    }
}

void invariant_checker::check_refusals(std::vector<violation>& out) const
{
    for (const auto& it : observed_.calls)
    {
        if (is_refusal(it.status) && !may_repeat(it.kind) && runs_.contains(it.request))
        {
            out.push_back(
                {"true_refusal", absl::StrCat(it.request, " ran and was answered ", it.status)});
        }
    }
}

void invariant_checker::check_answers(std::vector<violation>& out) const
{
    for (const auto& it : observed_.calls)
    {
        const bool whole = is_success(it.status) && it.complete;
        if (whole && !(it.has_signature && it.body_matches))
        {
            out.push_back({"whole_answer", absl::StrCat(it.request, " got status ", it.status,
                                                        it.body_matches ? " without a signature"
                                                                        : " with another body")});
        }
    }
}

void invariant_checker::check_runs_as_sent(std::vector<violation>& out) const
{
    for (const auto& it : observed_.executions)
    {
        if (!it.as_sent)
        {
            out.push_back({"run_as_sent",
                           absl::StrCat(it.request, " was modified on its way to ", it.endpoint)});
        }
    }
}

void invariant_checker::check_attempts(std::vector<violation>& out) const
{
    for (const auto& [request, runs] : runs_)
    {
        std::vector<std::string> endpoints;
        for (const auto* it : runs)
        {
            endpoints.push_back(it->endpoint);
        }
        std::sort(endpoints.begin(), endpoints.end());
        endpoints.erase(std::unique(endpoints.begin(), endpoints.end()), endpoints.end());
        if (endpoints.size() > bounds_.max_endpoints)
        {
            out.push_back(
                {"attempts", absl::StrCat(request, " ran at ", endpoints.size(), " endpoints")});
        }
    }
}

void invariant_checker::check_denials(std::vector<violation>& out) const
{
    // Some requests depend on the configuration in force; every one allows all others.
    for (const auto& it : observed_.calls)
    {
        if (!depends_on_version(it.kind) && is_denial(it.status))
        {
            out.push_back({"denial", absl::StrCat(it.request, " was answered ", it.status,
                                                  " by router ", it.router)});
        }
    }
}

template <class Matches>
void invariant_checker::check_late_runs(const operator_change& change,
                                        milliseconds bound,
                                        time_point until,
                                        Matches matches,
                                        const char* name,
                                        std::vector<violation>& out) const
{
    for (const auto& it : observed_.executions)
    {
        const auto* call = call_of(it.request);
        if (it.at < change.at + bound || it.at >= until || call == nullptr || !matches(it) ||
            !observed_.outages.settled(call->router, change.at, it.at))
        {
            continue;
        }
        out.push_back({name, absl::StrCat(it.request, " reached ", it.endpoint, " ",
                                          ms_between(change.at, it.at), " ms after the change")});
    }
}

void invariant_checker::check_drains(std::vector<violation>& out) const
{
    for (const auto& change : observed_.changes)
    {
        if (change.kind == change_kind::drain)
        {
            ++timed_checks_;
            check_late_runs(
                change, bounds_.drain, time_point::max(),
                [&](const execution_record& it) { return it.endpoint == change.name; }, "drain",
                out);
        }
    }
}

void invariant_checker::check_domains_out(std::vector<violation>& out) const
{
    for (const auto& change : observed_.changes)
    {
        if (change.kind != change_kind::domain_out)
        {
            continue;
        }
        const auto back = std::find_if(observed_.changes.begin(), observed_.changes.end(),
                                       [&](const operator_change& it) {
                                           return it.kind == change_kind::domain_back &&
                                                  it.name == change.name && it.at > change.at;
                                       });
        ++timed_checks_;
        check_late_runs(
            change, bounds_.domain_out,
            back == observed_.changes.end() ? time_point::max() : back->at,
            [&](const execution_record& it) { return it.domain == change.name; }, "domain_out",
            out);
    }
}

void invariant_checker::check_configuration(std::vector<violation>& out) const
{
    for (const auto& it : observed_.calls)
    {
        const auto change = std::find_if(observed_.changes.begin(), observed_.changes.end(),
                                         [&](const operator_change& known) {
                                             return known.kind == change_kind::configuration &&
                                                    known.version == it.version;
                                         });
        if (it.kind != call_kind::probe || change == observed_.changes.end() ||
            it.written_at < change->at + bounds_.configuration ||
            !observed_.outages.settled(it.router, change->at, it.ended_at))
        {
            continue;
        }
        ++timed_checks_;
        if (is_denial(it.status))
        {
            out.push_back({"configuration",
                           absl::StrCat("router ", it.router, " lacks version ", it.version, " ",
                                        ms_between(change->at, it.written_at), " ms after it")});
        }
    }
}

void invariant_checker::check_versions_rise(std::vector<violation>& out) const
{
    // The probes of a router are sequential, so a route must not disappear after a successful
    // probe.
    std::map<std::pair<std::size_t, std::uint32_t>, std::uint64_t> known;
    for (const auto& it : observed_.calls)
    {
        if (it.kind != call_kind::probe)
        {
            continue;
        }
        auto& version = known[{it.router, it.process_number}];
        if (is_success(it.status))
        {
            version = std::max(version, it.version);
        }
        else if (is_denial(it.status) && it.version <= version)
        {
            out.push_back({"versions_rise", absl::StrCat("router ", it.router, " had version ",
                                                         version, " and lacks ", it.version)});
        }
    }
}

void invariant_checker::check_load(std::vector<violation>& out) const
{
    std::deque<const arrival*> window;
    std::size_t overloaded = 0;
    const auto is_overloaded = [&](const arrival& it)
    { return it.load > bounds_.load_factor * it.mean + bounds_.load_allowance; };
    for (const auto& it : observed_.arrivals)
    {
        window.push_back(&it);
        overloaded += is_overloaded(it) ? 1 : 0;
        while (window.front()->at + bounds_.overload_window < it.at)
        {
            overloaded -= is_overloaded(*window.front()) ? 1 : 0;
            window.pop_front();
        }
        const bool many = overloaded >= bounds_.min_overloaded &&
                          static_cast<double>(overloaded) >
                              bounds_.max_overloaded_ratio * static_cast<double>(window.size());
        if (!many)
        {
            continue;
        }
        const auto from = it.at - bounds_.overload_window - outage_log::settle_margin;
        if (observed_.outages.all_undisturbed(from, it.at))
        {
            out.push_back(
                {"load", absl::StrCat(overloaded, " of ", window.size(),
                                      " requests arrived at an endpoint over the load bound; ",
                                      it.endpoint, " had ", it.load, " for a mean of ", it.mean)});
            return;
        }
    }
}

void invariant_checker::check_cold(std::vector<violation>& out) const
{
    const auto allowed =
        bounds_.cold_requests_per_s * bounds_.cold_overshoot + bounds_.cold_tolerance;
    std::map<std::string, std::deque<time_point>> windows;
    for (const auto& it : observed_.arrivals)
    {
        if (!it.cold)
        {
            continue;
        }
        auto& window = windows[it.endpoint];
        window.push_back(it.at);
        while (window.front() + seconds{1} < it.at)
        {
            window.pop_front();
        }
        ++timed_checks_;
        if (static_cast<double>(window.size()) > allowed)
        {
            out.push_back({"cold", absl::StrCat(it.endpoint, " received ", window.size(),
                                                " requests in a second while cold")});
            return;
        }
    }
}

void invariant_checker::check_stops(std::vector<violation>& out) const
{
    for (const auto& it : observed_.calls)
    {
        const bool answered = it.status != 0 && it.complete;
        const auto from = it.written_at - outage_log::settle_margin;
        // Calls that another disturbance may have ended are excluded; only a planned stop counts.
        const bool stopped =
            !observed_.outages.undisturbed(it.router, it.written_at, it.ended_at, true) &&
            observed_.outages.undisturbed(it.router, from, it.ended_at, false) &&
            observed_.outages.undisturbed(store_component, from, it.ended_at, false) &&
            observed_.outages.undisturbed(endpoints_component, from, it.ended_at, false);
        const auto* stop = stop_of(it);
        // Long work may exceed the deadline, and may last until the stop ends.
        const bool excused = has_long_work(it.kind) &&
                             (has_expired(it) || (stop != nullptr && cut_at_end(it, *stop)));
        if (answered || it.abandoned || !stopped || excused)
        {
            continue;
        }
        ++timed_checks_;
        const bool crossed = it.ended_at < it.written_at + bounds_.close_race_tolerance;
        if (runs_.contains(it.request) || !crossed)
        {
            out.push_back({"graceful_stop",
                           absl::StrCat(it.request, " was cut by router ", it.router, " after ",
                                        ms_between(it.written_at, it.ended_at), " ms")});
        }
    }
}

bool invariant_checker::ended_by_running_router(const call_record& it) const
{
    const bool answered = it.status != 0 && it.complete;
    const bool process_ended =
        std::any_of(observed_.process_ends.begin(), observed_.process_ends.end(),
                    [&](const process_end& known)
                    {
                        return known.router == it.router &&
                               known.process_number == it.process_number && known.at <= it.ended_at;
                    });
    return !answered && !it.abandoned && !process_ended;
}

std::size_t invariant_checker::closed_unread() const
{
    return static_cast<std::size_t>(std::count_if(observed_.calls.begin(), observed_.calls.end(),
                                                  [this](const call_record& it)
                                                  {
                                                      return it.status == 0 && it.sent_in_time &&
                                                             ended_by_running_router(it) &&
                                                             !runs_.contains(it.request);
                                                  }));
}

void invariant_checker::check_unanswered(std::vector<violation>& out) const
{
    std::size_t count = 0;
    for (const auto& it : observed_.calls)
    {
        const auto from = it.written_at - outage_log::settle_margin;
        // Before the response header, a router can answer any failure except that of its own
        // process. Other routers don't carry responses, so their faults end none.
        const bool excused =
            it.ended_at + stamp_slack >= it.written_at + it.deadline ||
            !observed_.outages.sound(endpoints_component, from, it.ended_at) ||
            (it.status != 0 && !observed_.outages.sound(machine_component, from, it.ended_at));
        if (excused || !runs_.contains(it.request) || !ended_by_running_router(it))
        {
            continue;
        }
        ++count;
        if (count > bounds_.max_unanswered)
        {
            out.push_back(
                {"unanswered",
                 absl::StrCat(it.request, " ran and was cut by router ", it.router, " with status ",
                              it.status, " after ", ms_between(it.written_at, it.ended_at),
                              " ms, number ", count, " of the run")});
        }
    }
}

const process_end* invariant_checker::stop_of(const call_record& it) const
{
    const auto found = std::find_if(observed_.process_ends.begin(), observed_.process_ends.end(),
                                    [&](const process_end& known)
                                    {
                                        return known.planned && known.router == it.router &&
                                               known.process_number == it.process_number &&
                                               known.at <= it.ended_at;
                                    });
    return found == observed_.process_ends.end() ? nullptr : &*found;
}

bool invariant_checker::cut_at_end(const call_record& it, const process_end& stop) const
{
    const auto runs = runs_.find(it.request);
    const auto work_until = stop.at + share_of(bounds_.grace, bounds_.work_share);
    // The end of the call counts too: before the end of the grace period a stop has no reason to
    // cut a request, although its endpoint may notice the close late.
    return it.sending_at <= stop.at + share_of(bounds_.grace, bounds_.sending_share) &&
           it.ended_at >= work_until && runs != runs_.end() &&
           std::any_of(runs->second.begin(), runs->second.end(),
                       [&](const execution_record* run) { return run->ended_at >= work_until; });
}

bool invariant_checker::ended_by_fault(const call_record& it) const
{
    const auto from = it.sending_at - outage_log::settle_margin;
    const auto runs = runs_.find(it.request);
    const bool endpoint_fault =
        runs != runs_.end() &&
        std::any_of(runs->second.begin(), runs->second.end(),
                    [&](const execution_record* run) {
                        return !observed_.outages.sound(endpoint_component(run->endpoint_number),
                                                        from, it.ended_at);
                    });
    return endpoint_fault || !observed_.outages.sound(it.router, from, it.ended_at);
}

stop_counts invariant_checker::at_stops() const
{
    stop_counts result;
    for (const auto& it : observed_.calls)
    {
        const auto* stop = stop_of(it);
        if (stop == nullptr || !runs_.contains(it.request) || it.abandoned)
        {
            continue;
        }
        const bool answered = it.status != 0 && it.complete;
        const auto sending_end = stop->at + share_of(bounds_.grace, bounds_.sending_share);
        result.answered += answered ? 1 : 0;
        result.late += answered && it.sending_at > sending_end ? 1 : 0;
        result.cut_at_end += !answered && cut_at_end(it, *stop) ? 1 : 0;
    }
    return result;
}

void invariant_checker::check_lost_at_stops(std::vector<violation>& out) const
{
    for (const auto& it : observed_.calls)
    {
        const bool answered = it.status != 0 && it.complete;
        const auto* stop = stop_of(it);
        const bool lost = !answered && !it.abandoned && stop != nullptr &&
                          runs_.contains(it.request) && !has_expired(it);
        if (!lost || cut_at_end(it, *stop) || ended_by_fault(it))
        {
            continue;
        }
        out.push_back(
            {"lost_at_stop",
             absl::StrCat(it.request, " ran at ", runs_.at(it.request).back()->endpoint,
                          " and was cut by router ", it.router, " with status ", it.status,
                          ", sent ", ms_between(stop->at, it.sending_at), " ms and cut ",
                          ms_between(stop->at, it.ended_at), " ms after SIGTERM")});
    }
}

} // namespace mangovane::soak

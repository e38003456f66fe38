// Implementation of the judge.
#include "soak/judge.hpp"

#include <algorithm>
#include <array>
#include <deque>
#include <map>

#include <absl/strings/str_cat.h>

namespace mangovane::soak
{

namespace
{

/// Statuses that promise that a request has not run and never will.
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

} // namespace

judge::judge(const evidence& seen, promise_bounds bounds) : seen_{seen}, bounds_{bounds}
{
    for (const auto& it : seen_.runs)
    {
        runs_[it.request].push_back(&it);
    }
    for (const auto& it : seen_.calls)
    {
        calls_[it.request] = &it;
    }
}

std::vector<breach> judge::all() const
{
    static constexpr std::array checks{
        &judge::check_single_run,   &judge::check_refusals,      &judge::check_answers,
        &judge::check_runs_as_sent, &judge::check_attempts,      &judge::check_denials,
        &judge::check_drains,       &judge::check_domains_out,   &judge::check_configuration,
        &judge::check_load,         &judge::check_versions_rise, &judge::check_cold,
        &judge::check_stops,
    };
    std::vector<breach> result;
    for (const auto check : checks)
    {
        (this->*check)(result);
    }
    return result;
}

const call_record* judge::caller_of(const std::string& request) const
{
    const auto it = calls_.find(request);
    return it == calls_.end() ? nullptr : it->second;
}

void judge::check_single_run(std::vector<breach>& out) const
{
    for (const auto& [request, runs] : runs_)
    {
        const auto* call = caller_of(request);
        if (call != nullptr && !may_repeat(call->kind) && runs.size() > 1)
        {
            out.push_back({"single_run", absl::StrCat(request, " ran ", runs.size(), " times")});
        }
    }
}

void judge::check_refusals(std::vector<breach>& out) const
{
    for (const auto& it : seen_.calls)
    {
        if (is_refusal(it.status) && !may_repeat(it.kind) && runs_.contains(it.request))
        {
            out.push_back(
                {"true_refusal", absl::StrCat(it.request, " ran and was answered ", it.status)});
        }
    }
}

void judge::check_answers(std::vector<breach>& out) const
{
    for (const auto& it : seen_.calls)
    {
        const bool whole = is_success(it.status) && it.complete;
        if (whole && !(it.has_signature && it.body_matches))
        {
            out.push_back({"whole_answer", absl::StrCat(it.request, " got status ", it.status,
                                                        it.body_matches ? " without a signature"
                                                                        : " and another body")});
        }
    }
}

void judge::check_runs_as_sent(std::vector<breach>& out) const
{
    for (const auto& it : seen_.runs)
    {
        if (!it.as_sent)
        {
            out.push_back({"run_as_sent",
                           absl::StrCat(it.request, " was changed on its way to ", it.endpoint)});
        }
    }
}

void judge::check_attempts(std::vector<breach>& out) const
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

void judge::check_denials(std::vector<breach>& out) const
{
    // Probes ask for routes that may not be there yet; all else is allowed by each configuration.
    for (const auto& it : seen_.calls)
    {
        if (it.kind != call_kind::probe && is_denial(it.status))
        {
            out.push_back({"denial", absl::StrCat(it.request, " was answered ", it.status,
                                                  " by router ", it.router)});
        }
    }
}

template <class Matches>
void judge::check_late(const operator_change& change,
                       milliseconds bound,
                       time_point until,
                       Matches matches,
                       const char* name,
                       std::vector<breach>& out) const
{
    for (const auto& it : seen_.runs)
    {
        const auto* call = caller_of(it.request);
        if (it.at < change.at + bound || it.at >= until || call == nullptr || !matches(it) ||
            !seen_.outages.in_touch(call->router, change.at, it.at))
        {
            continue;
        }
        out.push_back({name, absl::StrCat(it.request, " reached ", it.endpoint, " ",
                                          ms_between(change.at, it.at), " ms after the change")});
    }
}

void judge::check_drains(std::vector<breach>& out) const
{
    for (const auto& change : seen_.changes)
    {
        if (change.kind == change_kind::drain)
        {
            ++timed_checks_;
            check_late(
                change, bounds_.drain, time_point::max(),
                [&](const run_record& it) { return it.endpoint == change.name; }, "drain", out);
        }
    }
}

void judge::check_domains_out(std::vector<breach>& out) const
{
    for (const auto& change : seen_.changes)
    {
        if (change.kind != change_kind::domain_out)
        {
            continue;
        }
        const auto back = std::find_if(seen_.changes.begin(), seen_.changes.end(),
                                       [&](const operator_change& it) {
                                           return it.kind == change_kind::domain_back &&
                                                  it.name == change.name && it.at > change.at;
                                       });
        ++timed_checks_;
        check_late(
            change, bounds_.domain_out, back == seen_.changes.end() ? time_point::max() : back->at,
            [&](const run_record& it) { return it.domain == change.name; }, "domain_out", out);
    }
}

void judge::check_configuration(std::vector<breach>& out) const
{
    for (const auto& it : seen_.calls)
    {
        const auto change = std::find_if(seen_.changes.begin(), seen_.changes.end(),
                                         [&](const operator_change& known) {
                                             return known.kind == change_kind::configuration &&
                                                    known.version == it.version;
                                         });
        if (it.kind != call_kind::probe || change == seen_.changes.end() ||
            it.written_at < change->at + bounds_.configuration ||
            !seen_.outages.in_touch(it.router, change->at, it.ended_at))
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

void judge::check_versions_rise(std::vector<breach>& out) const
{
    // Probes of one router are sent one after the other: a route that was there must stay there.
    std::map<std::pair<std::size_t, std::uint32_t>, std::uint64_t> known;
    for (const auto& it : seen_.calls)
    {
        if (it.kind != call_kind::probe)
        {
            continue;
        }
        auto& version = known[{it.router, it.boot}];
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

void judge::check_load(std::vector<breach>& out) const
{
    std::deque<const arrival*> window;
    std::size_t crowded = 0;
    const auto is_crowded = [&](const arrival& it)
    { return it.load > bounds_.load_factor * it.mean + bounds_.load_extra; };
    for (const auto& it : seen_.arrivals)
    {
        window.push_back(&it);
        crowded += is_crowded(it) ? 1 : 0;
        while (window.front()->at + bounds_.crowd_window < it.at)
        {
            crowded -= is_crowded(*window.front()) ? 1 : 0;
            window.pop_front();
        }
        const bool many = crowded >= bounds_.least_crowded &&
                          static_cast<double>(crowded) >
                              bounds_.crowded_part * static_cast<double>(window.size());
        if (!many)
        {
            continue;
        }
        const auto from = it.at - bounds_.crowd_window - outage_log::contact_time;
        if (seen_.outages.quiet(from, it.at))
        {
            out.push_back(
                {"load", absl::StrCat(crowded, " of ", window.size(),
                                      " requests found an endpoint beyond its bound, at ",
                                      it.endpoint, " ", it.load, " for a mean of ", it.mean)});
            return;
        }
    }
}

void judge::check_cold(std::vector<breach>& out) const
{
    const auto allowed = bounds_.cold_rate * bounds_.cold_overshoot + bounds_.cold_tolerance;
    std::map<std::string, std::deque<time_point>> windows;
    for (const auto& it : seen_.arrivals)
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
            out.push_back({"cold", absl::StrCat(it.endpoint, " got ", window.size(),
                                                " requests in a second while cold")});
            return;
        }
    }
}

void judge::check_stops(std::vector<breach>& out) const
{
    for (const auto& it : seen_.calls)
    {
        const bool answered = it.status != 0 && it.complete;
        const auto from = it.written_at - outage_log::contact_time;
        // Only a stop that was asked for may have ended it: all else is excused.
        const bool stopped = !seen_.outages.calm(it.router, it.written_at, it.ended_at, true) &&
                             seen_.outages.calm(it.router, from, it.ended_at, false) &&
                             seen_.outages.calm(the_store, from, it.ended_at, false) &&
                             seen_.outages.calm(the_endpoints, from, it.ended_at, false);
        if (answered || it.gave_up || !stopped)
        {
            continue;
        }
        ++timed_checks_;
        const bool crossed = it.ended_at < it.written_at + bounds_.lost_slack;
        if (runs_.contains(it.request) || !crossed)
        {
            out.push_back({"graceful_stop",
                           absl::StrCat(it.request, " was cut by router ", it.router, " after ",
                                        ms_between(it.written_at, it.ended_at), " ms")});
        }
    }
}

} // namespace mangovane::soak

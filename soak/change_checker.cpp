// Implementation of the checks across changes.
#include "soak/change_checker.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

#include <absl/strings/str_cat.h>

namespace mangovane::soak
{

namespace
{

bool is_served(const call_record& it)
{
    return it.status / 100 == 2;
}

/// A router that does not know a route or a key answers 4xx; 408, 421 and 429 have other causes.
bool is_unknown(const call_record& it)
{
    constexpr std::array statuses{401U, 403U, 404U};
    return std::find(statuses.begin(), statuses.end(), it.status) != statuses.end();
}

std::int64_t ms_between(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

} // namespace

std::vector<violation> change_checker::all() const
{
    static constexpr std::array checks{
        &change_checker::check_in_force_again,
        &change_checker::check_removed_in_time,
        &change_checker::check_removed_for_good,
        &change_checker::check_uncontrolled_memory,
        &change_checker::check_served_after_uncontrolled,
    };
    std::vector<violation> result;
    for (const auto check : checks)
    {
        (this->*check)(result);
    }
    return result;
}

bool change_checker::settled_after_return(const call_record& it, time_point from) const
{
    const auto& outages = observed_.outages;
    return outages.undisturbed(it.router, from - outage_log::settle_margin, it.ended_at, true) &&
           outages.undisturbed(store_component, from, it.ended_at, true);
}

void change_checker::check_in_force_again(std::vector<violation>& out) const
{
    for (const auto& change : observed_.changes)
    {
        for (const auto& it : observed_.calls)
        {
            if (change.kind != change_kind::configuration_again || it.kind != call_kind::probe ||
                it.version != change.version || it.sending_at < change.at + bounds_.configuration ||
                !settled_after_return(it, change.at))
            {
                continue;
            }
            ++timed_checks_;
            if (is_unknown(it))
            {
                out.push_back(
                    {"in_force_again",
                     absl::StrCat("router ", it.router, " lacks version ", it.version, " ",
                                  ms_between(change.at, it.sending_at),
                                  " ms after it was written again to a store that came back")});
            }
        }
    }
}

void change_checker::check_removed_in_time(std::vector<violation>& out) const
{
    for (const auto& it : observed_.calls)
    {
        const auto change = std::find_if(observed_.changes.begin(), observed_.changes.end(),
                                         [&](const operator_change& known) {
                                             return known.kind == change_kind::configuration &&
                                                    known.version > it.version;
                                         });
        if (!asks_for_removed(it.kind) || change == observed_.changes.end() ||
            it.sending_at < change->at + bounds_.configuration ||
            !observed_.outages.settled(it.router, change->at, it.ended_at))
        {
            continue;
        }
        ++timed_checks_;
        if (is_served(it))
        {
            out.push_back(
                {"removed_in_time", absl::StrCat(it.request, " was served by router ", it.router,
                                                 " ", ms_between(change->at, it.sending_at),
                                                 " ms after its key or route was removed")});
        }
    }
}

void change_checker::check_removed_for_good(std::vector<violation>& out) const
{
    /// A version that a process has served, and when that was known.
    struct served_version
    {
        std::uint64_t version{0};
        time_point at{};
    };
    std::map<std::pair<std::size_t, std::uint32_t>, served_version> known;
    for (const auto& it : observed_.calls)
    {
        auto& served = known[{it.router, it.process_number}];
        if (it.kind == call_kind::probe && is_served(it) && it.version > served.version)
        {
            served = {it.version, it.ended_at};
        }
        const bool later = it.version < served.version && it.sending_at >= served.at;
        if (asks_for_removed(it.kind) && is_served(it) && later)
        {
            out.push_back({"removed_for_good",
                           absl::StrCat(it.request, " was served by router ", it.router, " ",
                                        ms_between(served.at, it.sending_at),
                                        " ms after it had served version ", served.version,
                                        ", which lacks its key or route")});
        }
    }
}

void change_checker::check_uncontrolled_memory(std::vector<violation>& out) const
{
    for (const auto& it : observed_.uncontrolled)
    {
        ++timed_checks_;
        if (it.peak_memory_kb > bounds_.uncontrolled_memory_kb)
        {
            out.push_back({"uncontrolled_memory",
                           absl::StrCat("router ", it.router, " took ", it.peak_memory_kb,
                                        " KB with uncontrolled callers")});
        }
    }
}

void change_checker::check_served_after_uncontrolled(std::vector<violation>& out) const
{
    for (const auto& period : observed_.uncontrolled)
    {
        std::size_t sent = 0;
        bool served = false;
        for (const auto& it : observed_.calls)
        {
            const bool counts =
                it.router == period.router && !depends_on_version(it.kind) &&
                it.sending_at >= period.until + bounds_.uncontrolled_end &&
                observed_.outages.undisturbed(it.router, it.sending_at, it.ended_at, true);
            sent += counts ? 1 : 0;
            served = served || (counts && is_served(it) && it.complete);
        }
        if (!served && sent >= bounds_.min_calls_after_uncontrolled)
        {
            out.push_back({"served_after_uncontrolled",
                           absl::StrCat("router ", period.router, " served none of ", sent,
                                        " calls after uncontrolled callers")});
        }
    }
}

} // namespace mangovane::soak

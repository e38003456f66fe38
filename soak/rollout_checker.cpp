// Implementation of the checks of rollouts.
#include "soak/rollout_checker.hpp"

#include <algorithm>
#include <array>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

namespace mangovane::soak
{

namespace
{

bool is_final(const std::string& state)
{
    return state == rollout_done || state == rollout_rolled_back;
}

std::int64_t ms_between(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from).count();
}

bool runs_at_new_version(const execution_record& it, const rollout_order& order)
{
    return it.service == order.service && it.version == order.to;
}

} // namespace

rollout_checker::rollout_checker(const run_observations& observed, invariant_bounds bounds)
    : observed_{observed}, bounds_{bounds}
{
    for (const auto& it : observed_.executions)
    {
        end_ = std::max(end_, it.at);
    }
}

std::vector<violation> rollout_checker::all() const
{
    static constexpr std::array checks{
        &rollout_checker::check_share,
        &rollout_checker::check_rollback,
        &rollout_checker::check_final_status,
    };
    std::vector<violation> result;
    for (const auto check : checks)
    {
        (this->*check)(result);
    }
    return result;
}

bool rollout_checker::store_returned(time_point from, time_point until) const
{
    return std::any_of(observed_.changes.begin(), observed_.changes.end(),
                       [&](const operator_change& it) {
                           return it.kind == change_kind::store_returned && it.at >= from &&
                                  it.at <= until;
                       });
}

void rollout_checker::check_share(std::vector<violation>& out) const
{
    for (const auto& order : observed_.rollouts)
    {
        const auto deadline = order.at + order.duration;
        // The bound is one of all requests until the deadline.
        if (!order.bad || end_ < deadline)
        {
            continue;
        }
        std::size_t all = 0;
        std::size_t at_version = 0;
        for (const auto& it : observed_.executions)
        {
            const bool until_deadline =
                it.service == order.service && it.at >= order.at && it.at < deadline;
            all += until_deadline ? 1 : 0;
            at_version += runs_at_new_version(it, order) ? 1 : 0;
        }
        const auto allowed =
            bounds_.canary_share * static_cast<double>(all) + bounds_.canary_tolerance;
        if (static_cast<double>(at_version) > allowed)
        {
            out.push_back({"rollout_share", absl::StrCat("the bad version ", order.to, " got ",
                                                         at_version, " of ", all, " requests")});
        }
    }
}

void rollout_checker::check_rollback(std::vector<violation>& out) const
{
    absl::flat_hash_map<std::string, const call_record*> calls;
    for (const auto& it : observed_.calls)
    {
        calls[it.request] = &it;
    }
    for (const auto& order : observed_.rollouts)
    {
        std::vector<time_point> failures;
        for (const auto& it : observed_.executions)
        {
            if (order.bad && it.failed && runs_at_new_version(it, order) &&
                it.ended_at != time_point::max())
            {
                failures.push_back(it.ended_at);
            }
        }
        if (failures.size() < bounds_.failures_before_rollback)
        {
            continue;
        }
        std::sort(failures.begin(), failures.end());
        const auto failed_at = failures[bounds_.failures_before_rollback - 1];
        for (const auto& it : observed_.executions)
        {
            const auto call = calls.find(it.request);
            if (!runs_at_new_version(it, order) || call == calls.end() ||
                call->second->sending_at <= failed_at + bounds_.rollback ||
                !observed_.outages.undisturbed(call->second->router, failed_at, it.at, true))
            {
                continue;
            }
            out.push_back(
                {"rollback", absl::StrCat(it.request, " was sent to the bad version ", order.to,
                                          " ", ms_between(failed_at, call->second->sending_at),
                                          " ms after its failures had shown it")});
        }
    }
}

void rollout_checker::check_final_status(std::vector<violation>& out) const
{
    for (const auto& order : observed_.rollouts)
    {
        const status_change* final_one = nullptr;
        const status_change* last = nullptr;
        for (const auto& it : observed_.status_changes)
        {
            if (it.version != order.to)
            {
                continue;
            }
            const bool lost =
                final_one != nullptr && !is_final(it.state) && store_returned(final_one->at, it.at);
            if (final_one != nullptr && it.state != final_one->state && !lost)
            {
                out.push_back(
                    {"final_status", absl::StrCat("the status of ", order.to, " changed from ",
                                                  final_one->state, " to '", it.state, "'")});
            }
            final_one = final_one == nullptr && is_final(it.state) ? &it : final_one;
            last = &it;
        }
        if (final_one != nullptr && !is_final(last->state) &&
            end_ > last->at + bounds_.status_again && !store_returned(last->at, end_))
        {
            out.push_back({"final_status_again",
                           absl::StrCat("the status ", final_one->state, " of ", order.to,
                                        " was not written again after the store came back older")});
        }
    }
}

} // namespace mangovane::soak

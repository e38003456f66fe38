// Implementation of the rollout status.
#include "mangovane/rollout/rollout_status.hpp"

#include <algorithm>

namespace mangovane
{

namespace
{

std::optional<rollout_state> state_for(const stored_value<rollout_status>& row,
                                       const std::string& version)
{
    const bool same = row.value && row.value->version == version;
    return same ? std::optional{row.value->state} : std::nullopt;
}

} // namespace

status_decision
decide_status(const rollout_summary& rollout, const rollout_rows& rows, const store_time& time)
{
    const auto& order = rollout.order;
    const auto& found = rows.progress.value;
    const bool known =
        found && found->version == order.version && is_same_write(found->order, order.revision);
    if (found && !known && found->order > order.revision)
    {
        return {}; // Of an order that this instance does not know yet.
    }
    status_decision result;
    result.stored = known ? state_for(rows.status, order.version) : std::nullopt;
    // Whoever first sees an order fixes its deadline, from the time of the read. Rows that are
    // missing although the order is known were lost with an older copy of the store: the deadline
    // stays.
    const auto found_deadline = [&] { return time.read_at + (found->deadline - time.store_now); };
    result.deadline =
        known ? found_deadline() : std::min(time.read_at + order.duration, rollout.deadline);
    const auto left = std::chrono::duration_cast<milliseconds>(result.deadline - time.read_at);
    const auto deadline = time.store_now + left;
    const auto state = rollout.completable ? rollout_state::done : rollout.state;
    const bool final = result.stored && *result.stored != rollout_state::running;
    if (final || result.stored == state)
    {
        return result;
    }
    result.write = rollout_write{order.service_name,
                                 rows.status.revision,
                                 rows.progress.revision,
                                 {order.version, state},
                                 {order.revision, order.version, deadline}};
    return result;
}

} // namespace mangovane

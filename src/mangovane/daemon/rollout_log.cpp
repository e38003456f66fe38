// Implementation of the log lines of rollouts.
#include "mangovane/daemon/rollout_log.hpp"

#include <array>
#include <string>

#include <absl/strings/str_cat.h>

namespace mangovane
{

namespace
{

constexpr std::array<absl::string_view, rollout_reason_count> reasons{
    "scheduled",   "failures",     "slowness",      "no_endpoint",
    "no_evidence", "peer_verdict", "stored_status", "in_force"};

std::string describe(const rollout_log_entry& entry)
{
    const auto& [order, event] = entry;
    const bool ended = event.state != rollout_state::running;
    auto line = absl::StrCat(
        "event=", ended ? "rollout_verdict" : "rollout_step", " service=", order.service_name,
        " to=", order.version, " order=", order.revision.number,
        " state=", std::string{rollout_state_names.at(static_cast<std::size_t>(event.state))},
        " reason=", reasons.at(static_cast<std::size_t>(event.reason)), " share=", event.share);
    if (event.verdict.defect != version_defect::none)
    {
        const auto& it = event.verdict;
        absl::StrAppend(&line, " route=", absl::Hex(it.route), " old_total=", it.current.total,
                        " old_bad=", it.current.bad, " new_total=", it.ordered.total,
                        " new_bad=", it.ordered.bad);
    }
    return line;
}

} // namespace

void log_rollouts(rollout_registry& rollouts, event_log& log, time_point now)
{
    for (const auto& it : rollouts.take_log())
    {
        log.write(describe(it), now);
    }
}

} // namespace mangovane

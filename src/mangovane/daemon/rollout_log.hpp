// Log lines of rollouts.
#ifndef MANGOVANE_DAEMON_ROLLOUT_LOG_HPP
#define MANGOVANE_DAEMON_ROLLOUT_LOG_HPP

#include "mangovane/observe/event_log.hpp"
#include "mangovane/rollout/rollout_registry.hpp"

namespace mangovane
{

/// Writes the steps and ends since the last call, with the counts that decided.
void log_rollouts(rollout_registry& rollouts, event_log& log, time_point now);

} // namespace mangovane

#endif

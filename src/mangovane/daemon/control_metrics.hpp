// Metrics of the control traffic and of the settings' age.
#ifndef MANGOVANE_DAEMON_CONTROL_METRICS_HPP
#define MANGOVANE_DAEMON_CONTROL_METRICS_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "mangovane/core/time.hpp"
#include "mangovane/net/peer_network.hpp"

namespace mangovane
{

/// Prometheus text of the traffic between instances and of the polls of endpoints.
[[nodiscard]] std::string traffic_metrics(const peer_traffic& peers, std::uint64_t poll_bytes);

/// Prometheus text of the time since the settings' current version was last read, in seconds; -1
/// before the first read.
[[nodiscard]] std::string settings_age_metric(std::optional<milliseconds> age);

/// Sample of the number of tasks that an exception has ended.
[[nodiscard]] std::string failed_tasks_metric(std::uint64_t failures);

} // namespace mangovane

#endif

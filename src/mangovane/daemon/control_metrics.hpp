// Metrics of control traffic and of the age of the settings.
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

/// Prometheus text of the time since the last read of the settings' head; -1 before the first.
[[nodiscard]] std::string settings_age_metric(std::optional<milliseconds> age);

} // namespace mangovane

#endif

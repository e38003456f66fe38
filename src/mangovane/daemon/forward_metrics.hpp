// Metrics of a forwarding router beside those of its requests.
#ifndef MANGOVANE_DAEMON_FORWARD_METRICS_HPP
#define MANGOVANE_DAEMON_FORWARD_METRICS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "mangovane/rollout/rollout_registry.hpp"

namespace mangovane
{

/// State of an instance that forwards by routes, at one point in time.
struct forward_state
{
    std::uint64_t settings_version{0}; ///< 0: none yet.
    std::size_t quarantined_parts{0};
    std::uint64_t peer_bytes_sent{0};
    std::uint64_t peer_bytes_received{0};
    std::uint64_t log_lines_dropped{0};
    std::uint64_t store_era{0};

    auto operator<=>(const forward_state&) const = default;
};

/// Samples of the state, as text.
[[nodiscard]] std::string forward_metrics(const forward_state& state);

/// Samples of the rollouts, as text. Each service has one label value for the ordered version and
/// two for the sides, so their number is bounded by the number of services.
[[nodiscard]] std::string rollout_metrics(const std::vector<rollout_summary>& rollouts);

} // namespace mangovane

#endif

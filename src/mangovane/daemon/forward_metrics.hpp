// Metrics of a forwarding router beside those of its requests.
#ifndef MANGOVANE_DAEMON_FORWARD_METRICS_HPP
#define MANGOVANE_DAEMON_FORWARD_METRICS_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

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

} // namespace mangovane

#endif

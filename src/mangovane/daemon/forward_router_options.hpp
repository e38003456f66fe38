// Options of the forwarding router daemon, from flags and environment variables. They are validated
// before anything starts.
#ifndef MANGOVANE_DAEMON_FORWARD_ROUTER_OPTIONS_HPP
#define MANGOVANE_DAEMON_FORWARD_ROUTER_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "mangovane/daemon/command_line.hpp"
#include "mangovane/forward/forward_core.hpp"

namespace mangovane
{

struct forward_router_options
{
    router_command command{router_command::run};
    std::string name;               ///< Unique name of the instance: its IP address.
    std::string domain;             ///< Failure domain.
    std::string listen;             ///< `ip:port` for callers.
    std::string ready_listen;       ///< `ip:port` of the readiness probe; empty: none.
    std::string metrics_listen;     ///< `ip:port` for metrics; empty: none.
    std::string peer_listen;        ///< `ip:port` for other instances.
    std::string peer_advertise;     ///< `ip:port` at which they reach this instance.
    std::string store;              ///< `ip:port` of the platform's store.
    std::string cluster_key;        ///< Cluster key; from the environment only.
    std::vector<std::string> seeds; ///< `ip:port` of some instances.
    std::uint32_t threads{2};
    milliseconds drain_delay{2500};  ///< From the stop signal until connections are refused.
    milliseconds grace_period{8000}; ///< From the stop signal until the process ends.
    /// How long an endpoint goes on serving after it has announced that it leaves.
    milliseconds endpoint_drain{2000};
    std::uint32_t request_memory_mb{32}; ///< For all requests that are read and held.
    std::uint32_t descriptors{0}; ///< That the process may open; 0: the limit of the process.
    fleet_policy fleet;
    admission_policy admission;
    rollout_policy rollouts; ///< Not enabled unless the deployment states its share.

    bool operator==(const forward_router_options&) const = default;
};

/// Parses flags, then environment variables (`MANGOVANE_` and the flag's name in capitals). A flag
/// takes precedence. The error lists each invalid option with its value and the allowed values.
[[nodiscard]] absl::StatusOr<forward_router_options>
read_forward_router_options(int argc, const char* const* argv);

/// Text of `--help`.
[[nodiscard]] std::string forward_router_help();

} // namespace mangovane

#endif

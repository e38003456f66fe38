// Options of the router daemon, from flags and environment variables. They are validated before
// anything starts.
#ifndef MANGOVANE_DAEMON_ROUTER_OPTIONS_HPP
#define MANGOVANE_DAEMON_ROUTER_OPTIONS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "mangovane/core/time.hpp"
#include "mangovane/daemon/command_line.hpp"
#include "mangovane/membership/endpoint.hpp"

namespace mangovane
{

struct router_options
{
    router_command command{router_command::run};
    std::string name;            ///< Unique name of the instance.
    std::string domain;          ///< Failure domain.
    std::string listen;          ///< `ip:port` for callers.
    std::string peer_listen;     ///< `ip:port` for other instances; empty: none.
    std::string operator_listen; ///< `ip:port` for operators; empty: none.
    std::string platform;        ///< `ip:port` of the platform's service; empty in static mode.
    std::string cluster_key; ///< Shared key of instances and operators; from the environment only.
    std::string settings_file;            ///< Static mode: file with the settings.
    std::vector<endpoint_info> endpoints; ///< Static mode: all endpoints.
    std::uint32_t threads{4};
    std::uint32_t chat_capacity{1U << 20U}; ///< Chats that the instance tracks.
    milliseconds drain_delay{3000};         ///< From SIGTERM until connections are refused.
    milliseconds grace_period{600000};      ///< From SIGTERM until running requests are cut.
    std::uint32_t request_memory_mb{32};    ///< For all requests that are read and held.
    std::uint32_t descriptors{0}; ///< That the process may open; 0: the limit of the process.
    bool verbose{false};          ///< Log each request.

    bool operator==(const router_options&) const = default;
};

/// Parses flags, then environment variables (`MANGOVANE_` and the flag's name in capitals). A flag
/// takes precedence. The error lists each invalid option with its value and the allowed values.
[[nodiscard]] absl::StatusOr<router_options> read_router_options(int argc, const char* const* argv);

/// Text of `--help`.
[[nodiscard]] std::string router_help();

} // namespace mangovane

#endif

// Parsed command line of mangovanectl.
#ifndef MANGOVANE_CTL_COMMAND_LINE_HPP
#define MANGOVANE_CTL_COMMAND_LINE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace mangovane::ctl
{

/// Exit codes, documented in docs/operators/settings.md.
enum exit_code : int
{
    exit_ok = 0,
    exit_failed = 1,
    exit_usage = 2,
    exit_invalid = 3,
    exit_conflict = 4,
    exit_unreachable = 5,
    exit_wait_timeout = 6,
};

/// Positional arguments and flags.
struct command_line
{
    std::vector<std::string> arguments; ///< Command and its arguments.
    std::string platform;               ///< `ip:port` of the platform.
    std::string operator_address;       ///< `ip:port` of an instance's operator API.
    std::string author;
    std::string change_id;               ///< Empty: choose a random one.
    std::optional<std::uint64_t> base;   ///< Version that the change is based on.
    std::optional<std::uint32_t> wait_s; ///< Seconds to wait for the change to be in force.
    std::uint32_t max_changes{20};       ///< Shown by `settings history`.
    /// Request to explain: parameters by name; empty: not given.
    std::map<std::string, std::string> explained;
    bool json{false};
    bool markdown{false}; ///< Print the schema as Markdown.
    bool help{false};

    bool operator==(const command_line&) const = default;
};

/// Reads flags and, as their defaults, the environment (MANGOVANE_PLATFORM, MANGOVANE_OPERATOR,
/// USER). Errors: `kInvalidArgument`.
[[nodiscard]] absl::StatusOr<command_line> read_command_line(int argc, char** argv);

/// Help text of the flags.
[[nodiscard]] std::string flags_help();

} // namespace mangovane::ctl

#endif

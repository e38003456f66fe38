// The command line of mangovanectl as a value.
#ifndef MANGOVANE_CTL_COMMAND_LINE_HPP
#define MANGOVANE_CTL_COMMAND_LINE_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

namespace mangovane::ctl
{

/// Exit codes; documented in docs/operators/settings.md.
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

struct command_line
{
    std::vector<std::string> arguments; ///< Command and its arguments.
    std::string platform;               ///< `ip:port`
    std::string operator_address;       ///< `ip:port`
    std::string author;
    std::string change_id;
    std::optional<std::uint64_t> base;
    std::optional<std::uint32_t> wait_s;
    std::uint32_t count{20};
    bool json{false};
    bool markdown{false};
    bool help{false};

    bool operator==(const command_line&) const = default;
};

/// Reads flags and the environment (MANGOVANE_PLATFORM, MANGOVANE_OPERATOR, USER).
[[nodiscard]] absl::StatusOr<command_line> read_command_line(int argc, char** argv);

/// Description of the flags.
[[nodiscard]] std::string flags_text();

} // namespace mangovane::ctl

#endif

// What the command lines of the daemons share: flags, environment variables and commands.
#ifndef MANGOVANE_DAEMON_COMMAND_LINE_HPP
#define MANGOVANE_DAEMON_COMMAND_LINE_HPP

#include <cstdint>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

namespace mangovane
{

/// What the command line asks for.
enum class router_command : std::uint8_t
{
    run,
    check, ///< Check the settings and exit.
    help,
    version,
};

/// Adds the flags of the commands.
void add_commands(boost::program_options::options_description& known);

/// Option that an environment variable sets: `MANGOVANE_` and the option's name in capitals. Empty
/// for variables that are no option.
[[nodiscard]] std::string
option_name_from_environment(const std::string& variable,
                             const boost::program_options::options_description& known);

/// Reads flags, then environment variables, into the variables that the description names. A flag
/// wins. Error: InvalidArgument, naming the flag or variable.
[[nodiscard]] absl::StatusOr<router_command> read_command_line(
    int argc, const char* const* argv, const boost::program_options::options_description& known);

/// The shared key of instances, which is in the environment only; empty: not set.
[[nodiscard]] std::string cluster_key_from_environment();

/// Carries out a command that ends the program, after the settings were checked. Returns its exit
/// code; nothing for `run`.
[[nodiscard]] std::optional<int>
execute_command(router_command command, const std::string& program, const std::string& help);

} // namespace mangovane

#endif

// Command line of the daemons: flags, environment variables and commands that they share.
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

/// Command given on the command line.
enum class router_command : std::uint8_t
{
    run,
    check, ///< Check the options and exit.
    help,
    version,
};

/// Adds the flags that select a command.
void add_commands(boost::program_options::options_description& known);

/// Name of the option that an environment variable sets: the variable is `MANGOVANE_` and the name
/// in capitals, with underscores. Empty when there is no such option, or the variable is empty.
[[nodiscard]] std::string
option_name_from_environment(const std::string& variable,
                             const boost::program_options::options_description& known);

/// Parses flags, then environment variables, into the variables that the description refers to. A
/// flag takes precedence; one without a value keeps its default. Error: InvalidArgument with the
/// name of the flag or variable.
[[nodiscard]] absl::StatusOr<router_command> read_command_line(
    int argc, const char* const* argv, const boost::program_options::options_description& known);

/// Shared key of the instances, which is read only from the environment. Empty when it is not set.
[[nodiscard]] std::string cluster_key_from_environment();

/// Executes a command that ends the program, after its options were checked. Returns the exit code;
/// empty for `run`.
[[nodiscard]] std::optional<int>
execute_command(router_command command, const std::string& program, const std::string& help);

} // namespace mangovane

#endif

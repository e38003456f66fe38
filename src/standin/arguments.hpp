// Command-line arguments of the stand-ins.
#ifndef MANGOVANE_STANDIN_ARGUMENTS_HPP
#define MANGOVANE_STANDIN_ARGUMENTS_HPP

#include <optional>
#include <string>
#include <vector>

#include <boost/program_options/options_description.hpp>

namespace mangovane::standin
{

/// Parses the arguments into the variables that the options are bound to. Returns an exit code if
/// the program has to exit: for `--help`, or because an argument is malformed.
[[nodiscard]] std::optional<int>
read_arguments(const boost::program_options::options_description& known,
               const std::vector<std::string>& args);

struct listen_option
{
    std::string listen;           ///< `ip:port`
    std::optional<int> exit_code; ///< Set when the program has to exit.

    auto operator<=>(const listen_option&) const = default;
};

/// Parses the arguments of a command whose only option is `--listen`.
[[nodiscard]] listen_option parse_listen_option(const std::string& command,
                                                const std::vector<std::string>& args);

} // namespace mangovane::standin

#endif

// Reading of the stand-ins' arguments.
#ifndef MANGOVANE_STANDIN_ARGUMENTS_HPP
#define MANGOVANE_STANDIN_ARGUMENTS_HPP

#include <optional>
#include <string>
#include <vector>

#include <boost/program_options/options_description.hpp>

namespace mangovane::standin
{

/// Reads the arguments into what the options are bound to. An exit code when the program has to
/// end: help was asked for, or an argument is malformed.
[[nodiscard]] std::optional<int>
read_arguments(const boost::program_options::options_description& known,
               const std::vector<std::string>& args);

struct listen_option
{
    std::string listen;           ///< `ip:port`
    std::optional<int> exit_code; ///< Set when the program has to end.

    auto operator<=>(const listen_option&) const = default;
};

/// For commands with the option `--listen` alone.
[[nodiscard]] listen_option parse_listen_option(const std::string& command,
                                                const std::vector<std::string>& args);

} // namespace mangovane::standin

#endif

// What the daemons share: options from the environment, and their threads.
#ifndef MANGOVANE_DAEMON_PROCESS_HPP
#define MANGOVANE_DAEMON_PROCESS_HPP

#include <cstdint>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/program_options/options_description.hpp>

namespace mangovane
{

/// Option that an environment variable sets: `MANGOVANE_` and the option's name in capitals. Empty
/// for variables that are no option.
[[nodiscard]] std::string
option_of_variable(const std::string& variable,
                   const boost::program_options::options_description& known);

/// Runs the context on so many threads, this one among them, until it stops.
void run_threads(boost::asio::io_context& io, std::uint32_t count);

} // namespace mangovane

#endif

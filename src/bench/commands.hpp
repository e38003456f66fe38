// Sub-commands of the benchmark. Each prints its measurements and returns the exit code.
#ifndef MANGOVANE_BENCH_COMMANDS_HPP
#define MANGOVANE_BENCH_COMMANDS_HPP

#include <string>
#include <vector>

namespace mangovane::bench
{

/// Measures cache reuse and load skew of the placement policies, in simulated time.
int run_reuse(const std::vector<std::string>& args);

/// Measures CPU time of placement decisions, and CPU time and memory of the chat directory.
int run_decision(const std::vector<std::string>& args);

/// Measures CPU time of decision paths and messages, and memory of each kind of state.
int run_path(const std::vector<std::string>& args);

/// Measures bytes between instances by fleet size and message type, in simulated time.
int run_control(const std::vector<std::string>& args);

} // namespace mangovane::bench

#endif

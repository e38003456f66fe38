// Sub-commands of the bench program. Each prints its figures and returns the exit code.
#ifndef MANGOVANE_BENCH_COMMANDS_HPP
#define MANGOVANE_BENCH_COMMANDS_HPP

#include <string>
#include <vector>

namespace mangovane::bench
{

/// Cache reuse and load skew of the placement policies, in simulated time.
int run_reuse(const std::vector<std::string>& args);

/// Processor time of placement decisions, and processor time and memory of the chat directory.
int run_decision(const std::vector<std::string>& args);

/// Processor time of whole decision paths and messages, and memory of each kind of state.
int run_path(const std::vector<std::string>& args);

/// Bytes between instances, by size of the fleet and message type, in simulated time.
int run_control(const std::vector<std::string>& args);

} // namespace mangovane::bench

#endif

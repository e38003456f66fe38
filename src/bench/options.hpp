// Options shared by the sub-commands of the benchmark.
#ifndef MANGOVANE_BENCH_OPTIONS_HPP
#define MANGOVANE_BENCH_OPTIONS_HPP

#include <string>
#include <vector>

namespace mangovane::bench
{

struct bench_options
{
    bool json{false};
    std::string only; ///< Substring of the names of the runs to execute; empty: all.

    bool operator==(const bench_options&) const = default;
};

/// Throws `std::invalid_argument` on an unknown option.
[[nodiscard]] bench_options parse_options(const std::vector<std::string>& args);

} // namespace mangovane::bench

#endif

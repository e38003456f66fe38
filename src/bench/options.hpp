// Options that the sub-commands of the bench share.
#ifndef MANGOVANE_BENCH_OPTIONS_HPP
#define MANGOVANE_BENCH_OPTIONS_HPP

#include <string>
#include <vector>

namespace mangovane::bench
{

struct bench_options
{
    bool json{false};
    std::string only; ///< Part of the name of the runs wanted; empty: all.

    bool operator==(const bench_options&) const = default;
};

/// Throws `std::invalid_argument` on an unknown option.
[[nodiscard]] bench_options parse_options(const std::vector<std::string>& args);

} // namespace mangovane::bench

#endif

// Figures of a measurement and their output.
#ifndef MANGOVANE_BENCH_FIGURE_HPP
#define MANGOVANE_BENCH_FIGURE_HPP

#include <compare>
#include <iosfwd>
#include <string>
#include <vector>

namespace mangovane::bench
{

struct figure
{
    std::string name;
    double value{0};
    std::string unit; ///< `1` for a ratio.

    auto operator<=>(const figure&) const = default;
};

/// One `name value unit` line a figure, or with `json` one array of objects.
void print_figures(std::ostream& out, const std::vector<figure>& figures, bool json);

} // namespace mangovane::bench

#endif

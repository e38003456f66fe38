// Measured values and their output.
#ifndef MANGOVANE_BENCH_MEASUREMENT_HPP
#define MANGOVANE_BENCH_MEASUREMENT_HPP

#include <compare>
#include <iosfwd>
#include <string>
#include <vector>

namespace mangovane::bench
{

struct measurement
{
    std::string name;
    double value{0};
    std::string unit; ///< `1` for a ratio.

    auto operator<=>(const measurement&) const = default;
};

/// Prints one `name value unit` line per measurement, or with `json` one array of objects.
void print_measurements(std::ostream& out, const std::vector<measurement>& measurements, bool json);

} // namespace mangovane::bench

#endif

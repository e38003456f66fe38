// Latency histogram with fixed buckets, and the count, sum and maximum of the values.
#ifndef MANGOVANE_OBSERVE_LATENCY_HISTOGRAM_HPP
#define MANGOVANE_OBSERVE_LATENCY_HISTOGRAM_HPP

#include <array>
#include <cstdint>
#include <string>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Upper bounds of the buckets in milliseconds; one more bucket holds all larger values.
inline constexpr std::array<std::uint32_t, 16> latency_buckets_ms{
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000, 120000, 600000};

class latency_histogram
{
public:
    /// Adds one value.
    void add(milliseconds value);

    /// Adds all values of another histogram.
    void merge(const latency_histogram& other);

    /// Appends the Prometheus lines `<name>_bucket`, `_sum` and `_count` with these labels, in
    /// seconds.
    void append_text(const std::string& name, const std::string& labels, std::string& out) const;

    /// Number of values.
    [[nodiscard]] std::uint64_t count() const;

    /// Upper bound of the bucket that contains the quantile `q` (0 to 1), in milliseconds; 0
    /// without values. Quantiles beyond the last bound yield that bound.
    [[nodiscard]] std::uint32_t quantile_ms(double q) const;

private:
    using accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count,
                                   boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max>>;

    std::array<std::uint32_t, latency_buckets_ms.size() + 1>
        buckets_{};                 ///< Number of values in each bucket.
    accumulator accumulator_;       ///< Of the values from `add`, in milliseconds.
    std::uint64_t merged_count_{0}; ///< Number of values from `merge`.
    double merged_sum_ms_{0};
};

} // namespace mangovane

#endif

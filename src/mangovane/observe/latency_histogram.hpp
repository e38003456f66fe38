// Distribution of one time of requests: a histogram with fixed buckets, and count, sum and maximum.
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

/// Upper ends of the buckets in milliseconds; a last bucket takes everything beyond.
inline constexpr std::array<std::uint32_t, 16> latency_buckets_ms{
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 30000, 120000, 600000};

class latency_histogram
{
public:
    void add(milliseconds value);

    /// Adds all values of another series.
    void merge(const latency_histogram& other);

    /// Prometheus lines `<name>_bucket`, `_sum` (seconds) and `_count` with these labels.
    void append_text(const std::string& name, const std::string& labels, std::string& out) const;

    [[nodiscard]] std::uint64_t count() const;

    /// Upper end of the bucket in which the quantile lies, in milliseconds; 0 without values.
    [[nodiscard]] std::uint32_t quantile_ms(double q) const;

private:
    using totals = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count,
                                   boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max>>;

    std::array<std::uint32_t, latency_buckets_ms.size() + 1> buckets_{}; ///< Values in each bucket.
    totals totals_;                 ///< Over values added here, in milliseconds.
    std::uint64_t merged_count_{0}; ///< Values that came by `merge`.
    double merged_sum_ms_{0};
};

} // namespace mangovane

#endif

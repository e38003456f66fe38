// Implementation of the latency histogram.
#include "mangovane/observe/latency_histogram.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>

namespace mangovane
{

namespace acc = boost::accumulators;

void latency_histogram::add(milliseconds value)
{
    const auto it =
        std::lower_bound(latency_buckets_ms.begin(), latency_buckets_ms.end(), value.count());
    ++buckets_[static_cast<std::size_t>(it - latency_buckets_ms.begin())];
    accumulator_(static_cast<double>(value.count()));
}

void latency_histogram::merge(const latency_histogram& other)
{
    for (std::size_t n = 0; n != buckets_.size(); ++n)
    {
        buckets_[n] += other.buckets_[n];
    }
    merged_count_ += other.count();
    merged_sum_ms_ += acc::sum(other.accumulator_) + other.merged_sum_ms_;
}

std::uint64_t latency_histogram::count() const
{
    return acc::count(accumulator_) + merged_count_;
}

std::uint32_t latency_histogram::quantile_ms(double q) const
{
    const auto wanted = q * static_cast<double>(count());
    std::uint64_t cumulative = 0;
    for (std::size_t n = 0; n != buckets_.size(); ++n)
    {
        cumulative += buckets_[n];
        if (cumulative != 0 && static_cast<double>(cumulative) >= wanted)
        {
            return latency_buckets_ms[std::min(n, latency_buckets_ms.size() - 1)];
        }
    }
    return 0;
}

void latency_histogram::append_text(const std::string& name,
                                    const std::string& labels,
                                    std::string& out) const
{
    const std::string first = labels.empty() ? std::string{} : labels + ",";
    std::uint64_t cumulative = 0;
    for (std::size_t n = 0; n != latency_buckets_ms.size(); ++n)
    {
        cumulative += buckets_[n];
        absl::StrAppend(&out, name, "_bucket{", first, "le=\"", latency_buckets_ms[n] / 1000.0,
                        "\"} ", cumulative, "\n");
    }
    absl::StrAppend(&out, name, "_bucket{", first, "le=\"+Inf\"} ", count(), "\n");
    absl::StrAppend(&out, name, "_sum{", labels, "} ",
                    (acc::sum(accumulator_) + merged_sum_ms_) / 1000.0, "\n");
    absl::StrAppend(&out, name, "_count{", labels, "} ", count(), "\n");
}

} // namespace mangovane

// Implementation of the counts of responses.
#include "mangovane/rollout/version_answers.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace mangovane
{

namespace
{

/// Applies an operation to each pair of counts.
template <class Operation>
version_answers
combine(const version_answers& lhs, const version_answers& rhs, Operation operation) noexcept
{
    version_answers result;
    result.failed = operation(lhs.failed, rhs.failed);
    for (std::size_t n = 0; n != first_byte_histogram::bucket_count; ++n)
    {
        result.first_bytes.set_count(n,
                                     operation(lhs.first_bytes.count(n), rhs.first_bytes.count(n)));
    }
    return result;
}

} // namespace

std::size_t first_byte_histogram::bucket_of(milliseconds time) noexcept
{
    if (time.count() <= 1)
    {
        return 0;
    }
    const double position = buckets_per_doubling * std::log2(static_cast<double>(time.count()));
    return std::min(static_cast<std::size_t>(position), bucket_count - 1);
}

std::uint32_t first_byte_histogram::total() const noexcept
{
    return std::accumulate(counts_.begin(), counts_.end(), 0U);
}

std::uint32_t first_byte_histogram::above(std::size_t bucket) const noexcept
{
    const auto first = std::min(bucket + 1, bucket_count);
    return std::accumulate(counts_.begin() + static_cast<std::ptrdiff_t>(first), counts_.end(), 0U);
}

std::size_t first_byte_histogram::quantile_bucket(double fraction) const noexcept
{
    const double wanted = fraction * total();
    double seen = 0;
    for (std::size_t n = 0; n != bucket_count; ++n)
    {
        seen += counts_[n];
        if (seen >= wanted)
        {
            return n;
        }
    }
    return bucket_count - 1;
}

version_answers sum_of(const version_answers& lhs, const version_answers& rhs) noexcept
{
    return combine(lhs, rhs, [](std::uint32_t a, std::uint32_t b) { return a + b; });
}

version_answers added_since(const version_answers& earlier, const version_answers& now) noexcept
{
    return combine(now, earlier,
                   [](std::uint32_t a, std::uint32_t b) { return a > b ? a - b : 0; });
}

} // namespace mangovane

// Responses of one version of a service on one route: counts and times to the first byte.
#ifndef MANGOVANE_ROLLOUT_VERSION_ANSWERS_HPP
#define MANGOVANE_ROLLOUT_VERSION_ANSWERS_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Times to the first byte, in buckets whose limits grow by the square root of two from 1 ms.
class first_byte_histogram
{
public:
    static constexpr std::size_t bucket_count = 26; ///< The last one begins at 5.8 s.

    /// Buckets between a time and its double.
    static constexpr std::size_t buckets_per_doubling = 2;

    [[nodiscard]] static std::size_t bucket_of(milliseconds time) noexcept;

    void add(milliseconds time) noexcept { ++counts_[bucket_of(time)]; }

    [[nodiscard]] std::uint32_t count(std::size_t bucket) const noexcept { return counts_[bucket]; }
    void set_count(std::size_t bucket, std::uint32_t value) noexcept { counts_[bucket] = value; }

    [[nodiscard]] std::uint32_t total() const noexcept;

    /// Number of times in buckets above this one.
    [[nodiscard]] std::uint32_t above(std::size_t bucket) const noexcept;

    /// The first bucket at or below which at least this fraction of the times lie.
    [[nodiscard]] std::size_t quantile_bucket(double fraction) const noexcept;

    auto operator<=>(const first_byte_histogram&) const = default;

private:
    std::array<std::uint32_t, bucket_count> counts_{};
};

/// Counts since the order.
struct version_answers
{
    std::uint32_t failed{0};          ///< Complete responses that report a failure.
    first_byte_histogram first_bytes; ///< Of the good responses.

    [[nodiscard]] std::uint32_t good() const noexcept { return first_bytes.total(); }
    [[nodiscard]] std::uint32_t total() const noexcept { return failed + good(); }

    auto operator<=>(const version_answers&) const = default;
};

/// Counts of one version's responses, for operators.
struct response_counts
{
    std::uint64_t good{0};
    std::uint64_t failed{0};
    std::uint64_t slow{0}; ///< Of the good ones.

    auto operator<=>(const response_counts&) const = default;
};

/// Sum of the counts of two instances.
[[nodiscard]] version_answers sum_of(const version_answers& lhs,
                                     const version_answers& rhs) noexcept;

/// Counts added since an earlier state.
[[nodiscard]] version_answers added_since(const version_answers& earlier,
                                          const version_answers& now) noexcept;

/// Which version of a service during a rollout.
enum class version_side : std::uint8_t
{
    current, ///< In force before the order.
    ordered, ///< To which the traffic moves.
};

/// Responses of both versions on one route.
struct route_answers
{
    std::uint64_t route{0}; ///< Hash of its name.
    version_answers current;
    version_answers ordered;

    auto operator<=>(const route_answers&) const = default;
};

} // namespace mangovane

#endif

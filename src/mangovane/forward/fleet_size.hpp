// How many instances share a fleet-wide allowance.
#ifndef MANGOVANE_FORWARD_FLEET_SIZE_HPP
#define MANGOVANE_FORWARD_FLEET_SIZE_HPP

#include <cstdint>
#include <mutex>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// The largest number of members seen in the last minute. Instances that are cut off still reach
/// endpoints: a share that grew when they leave the view would let both sides use the whole.
class fleet_size
{
public:
    explicit fleet_size(time_point start) : period_start_{start} {}

    void record(std::uint32_t members, time_point now);

    [[nodiscard]] std::uint32_t value() const;

    /// Until this many are known, an instance that has just started assumes as many.
    static constexpr std::uint32_t min_size = 8;
    static constexpr seconds period{30};

private:
    mutable std::mutex mutex_;
    std::uint32_t current_{min_size};  ///< Peak since `period_start_`. Guarded by `mutex_`.
    std::uint32_t previous_{min_size}; ///< Peak of the period before. Guarded by `mutex_`.
    time_point period_start_;          ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

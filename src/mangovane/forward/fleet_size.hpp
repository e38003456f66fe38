// Number of instances among which a fleet-wide allowance is divided.
#ifndef MANGOVANE_FORWARD_FLEET_SIZE_HPP
#define MANGOVANE_FORWARD_FLEET_SIZE_HPP

#include <cstdint>
#include <mutex>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// The largest number of members in the current and the previous period, that is in the last 30 to
/// 60 s. Instances on the other side of a network partition still reach the endpoints: if shares
/// grew as soon as members leave the view, both sides together would exceed the allowance.
class fleet_size
{
public:
    explicit fleet_size(time_point start) : period_start_{start} {}

    /// Records the current number of members.
    void record(std::uint32_t members, time_point now);

    /// At least `min_size`.
    [[nodiscard]] std::uint32_t value() const;

    /// Smallest fleet assumed. An instance that has just started does not know all members yet.
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

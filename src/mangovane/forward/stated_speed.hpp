// Speed of an endpoint from its own statements.
#ifndef MANGOVANE_FORWARD_STATED_SPEED_HPP
#define MANGOVANE_FORWARD_STATED_SPEED_HPP

#include <algorithm>
#include <cmath>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Newest statement of an endpoint's speed, averaged with those shortly before. Statements change
/// many times a second; a single one says little about the time that a request takes.
struct stated_speed
{
    double value{1};                  ///< As a multiple of the usual.
    time_point at{time_point::min()}; ///< Of the newest statement; min: none.

    [[nodiscard]] bool known() const noexcept { return at != time_point::min(); }

    /// After a further statement.
    [[nodiscard]] stated_speed with(double speed, time_point now) const noexcept
    {
        if (!known() || now >= at + smoothing_time)
        {
            return {speed, now};
        }
        const std::chrono::duration<double> since = std::max(duration{0}, now - at);
        const double weight = 1 - std::exp(-since / time_constant);
        // Statements that arrive at once have a weight of nearly 0 each; they count at least this.
        const double least_weight = 0.02;
        return {value + (speed - value) * std::max(weight, least_weight), std::max(at, now)};
    }

    /// The speed to expect now: the stated one, and from `valid_time` on closer to the usual one,
    /// which is reached after `stale_time`.
    [[nodiscard]] double expected(time_point now) const noexcept
    {
        if (!known() || now >= at + stale_time)
        {
            return 1;
        }
        const std::chrono::duration<double> too_old = now - at - valid_time;
        const std::chrono::duration<double> span = stale_time - valid_time;
        return value + (1 - value) * std::max(0.0, too_old / span);
    }

    /// The one with the newer statement.
    [[nodiscard]] const stated_speed& newer(const stated_speed& other) const noexcept
    {
        return other.at > at ? other : *this;
    }

    auto operator<=>(const stated_speed&) const = default;

    static constexpr milliseconds smoothing_time{1000};
    static constexpr milliseconds valid_time{1000};
    static constexpr milliseconds stale_time{3000};

private:
    /// 96 percent of the weight is within `smoothing_time`.
    static constexpr std::chrono::duration<double> time_constant{0.3};
};

} // namespace mangovane

#endif

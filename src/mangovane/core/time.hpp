// Time types of the decision code. Time points are passed in; no decision reads a clock.
#ifndef MANGOVANE_CORE_TIME_HPP
#define MANGOVANE_CORE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace mangovane
{

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Remaining time until a deadline in milliseconds, rounded down and never negative.
/// Deadlines are sent to other processes in this form, because their clocks differ.
[[nodiscard]] constexpr std::uint32_t remaining_ms(time_point deadline, time_point now) noexcept
{
    if (deadline <= now)
    {
        return 0;
    }
    const auto n = std::chrono::duration_cast<milliseconds>(deadline - now).count();
    return n > UINT32_MAX ? UINT32_MAX : static_cast<std::uint32_t>(n);
}

/// Deadline from a remaining time in milliseconds that was received from another process.
[[nodiscard]] constexpr time_point deadline_from(std::uint32_t remaining, time_point now) noexcept
{
    return now + milliseconds{remaining};
}

/// Time since a moment in milliseconds; the counterpart of `remaining_ms` for the past.
[[nodiscard]] constexpr std::uint32_t elapsed_ms(time_point since, time_point now) noexcept
{
    return remaining_ms(now, since);
}

/// Moment from the time since it that was received from another process.
[[nodiscard]] constexpr time_point moment_from(std::uint32_t elapsed, time_point now) noexcept
{
    return now - milliseconds{elapsed};
}

} // namespace mangovane

#endif

// Moments of a planned stop, and which requests are accepted between them.
#ifndef MANGOVANE_SHUTDOWN_STOP_SCHEDULE_HPP
#define MANGOVANE_SHUTDOWN_STOP_SCHEDULE_HPP

#include <algorithm>
#include <compare>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// From the deadline of a request that is accepted late to the cut, for its answer.
inline constexpr milliseconds late_answer_margin{150};

/// From the cut to the exit, for the answers of the requests that were cut.
inline constexpr milliseconds cut_answer_time{150};

/// Invariant: `began_at <= accept_until <= cut_at`.
struct stop_schedule
{
    time_point began_at;     ///< When the stop signal was handled.
    time_point accept_until; ///< Connections and all requests are accepted until then.
    time_point cut_at;       ///< Requests that still run then are cut.

    /// Whether a request is accepted that had been read completely at `read_at`: in time, or with a
    /// deadline that ends it before the cut. The others would lose their work at the cut, while
    /// another instance can still serve them.
    [[nodiscard]] constexpr bool admits(time_point read_at, time_point deadline) const noexcept
    {
        return read_at <= accept_until || deadline <= cut_at - late_answer_margin;
    }

    auto operator<=>(const stop_schedule&) const = default;
};

/// Schedule of a stop that begins now, accepts connections for `drain_delay` and lets requests run
/// for `run_time` in all, at least 0. A longer `drain_delay` is shortened to `run_time`.
[[nodiscard]] constexpr stop_schedule
make_stop_schedule(time_point now, milliseconds drain_delay, milliseconds run_time) noexcept
{
    const auto cut_at = now + std::max(run_time, milliseconds{0});
    return {now, std::min<time_point>(now + drain_delay, cut_at), cut_at};
}

} // namespace mangovane

#endif

// Moments of a planned stop.
#ifndef MANGOVANE_SHUTDOWN_STOP_SCHEDULE_HPP
#define MANGOVANE_SHUTDOWN_STOP_SCHEDULE_HPP

#include <algorithm>
#include <compare>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Invariant: `began_at <= accept_until <= cut_at`.
struct stop_schedule
{
    time_point began_at;     ///< When the stop signal was handled.
    time_point accept_until; ///< Connections are accepted until then.
    time_point cut_at;       ///< Requests that still run then are cut.

    auto operator<=>(const stop_schedule&) const = default;
};

/// Schedule of a stop that begins now, accepts connections for `drain_delay` and lets requests run
/// for `run_time` in all. A longer `drain_delay` is shortened to `run_time`.
[[nodiscard]] constexpr stop_schedule
make_stop_schedule(time_point now, milliseconds drain_delay, milliseconds run_time) noexcept
{
    return {now, now + std::min(drain_delay, run_time), now + run_time};
}

} // namespace mangovane

#endif

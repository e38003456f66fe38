// Keeps a process that was paused from acting on state from before the pause.
#ifndef MANGOVANE_ROUTING_RESUME_FENCE_HPP
#define MANGOVANE_ROUTING_RESUME_FENCE_HPP

#include <mutex>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Detects a pause of the process by a gap between two ticks. The fence is then closed, and nothing
/// is granted or dispatched, until another instance or the platform has answered. It opens after a
/// short time without an answer, so that an isolated instance continues. Thread-safe.
class resume_fence
{
public:
    /// Must be called at least once per `max_tick_gap`.
    void on_tick(time_point now);

    /// Opens the fence: another instance or the platform has answered a request.
    void on_remote_answer();

    /// Whether granting and dispatching are forbidden. Detects a pause even before the next tick.
    [[nodiscard]] bool closed(time_point now) const;

    /// End of the last pause; a slot that was requested earlier must not be used.
    [[nodiscard]] time_point resumed_at() const;

private:
    /// A longer gap between ticks is a pause. Short enough that after a settings change is
    /// accepted, a slot held across an undetected pause is dispatched at most 3 s later.
    static constexpr milliseconds max_tick_gap{1000};
    /// Time after which the fence opens without an answer.
    static constexpr milliseconds reopen_after{1000};

    mutable std::mutex mutex_;
    time_point last_tick_{time_point::min()};    ///< Guarded by `mutex_`.
    time_point resumed_at_{time_point::min()};   ///< Guarded by `mutex_`.
    time_point closed_until_{time_point::min()}; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

// Keeps a process that was paused from acting on what it knew before the pause.
#ifndef MANGOVANE_ROUTING_RESUME_FENCE_HPP
#define MANGOVANE_ROUTING_RESUME_FENCE_HPP

#include <mutex>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// A gap between two ticks means that the process was paused. Until it has heard from another
/// instance or the platform, it grants and dispatches nothing; an instance that is cut off goes on
/// after a short time.
class resume_fence
{
public:
    /// Called periodically.
    void on_tick(time_point now);

    /// A message of another instance, or an answer of the platform, has arrived.
    void on_remote_answer();

    /// Whether nothing may be granted or dispatched now. Finds a pause even before the next tick.
    [[nodiscard]] bool closed(time_point now) const;

    /// End of the last pause; a slot that was asked for before is not used.
    [[nodiscard]] time_point resumed_at() const;

private:
    /// Longer gaps between ticks are pauses. Short enough that a slot held over one is used within
    /// 3 s of the acceptance of a change.
    static constexpr milliseconds longest_gap{1000};
    /// Time after which an instance goes on that hears from nobody.
    static constexpr milliseconds alone_after{1000};

    mutable std::mutex mutex_;
    time_point ticked_at_{time_point::min()};    ///< Guarded by `mutex_`.
    time_point resumed_at_{time_point::min()};   ///< Guarded by `mutex_`.
    time_point closed_until_{time_point::min()}; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

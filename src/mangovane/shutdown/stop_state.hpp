// State of a planned stop, shared by the daemon, which begins it, and the sessions, which obey it.
#ifndef MANGOVANE_SHUTDOWN_STOP_STATE_HPP
#define MANGOVANE_SHUTDOWN_STOP_STATE_HPP

#include <atomic>
#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>

#include "mangovane/shutdown/stop_schedule.hpp"

namespace mangovane
{

/// Requests that a stop has ended, for its last log line.
struct stop_summary
{
    std::uint64_t refused{0}; ///< They were read too late, or not whole.
    std::uint64_t cut{0};     ///< They still ran at the end of the grace period.

    auto operator<=>(const stop_summary&) const = default;
};

/// Thread-safe.
class stop_state
{
public:
    /// Begins the stop; a second call has no effect.
    void begin(const stop_schedule& schedule)
    {
        const std::lock_guard lock{mutex_};
        schedule_ = schedule_.value_or(schedule);
        stopping_ = true;
    }

    [[nodiscard]] bool stopping() const noexcept { return stopping_.load(); }

    /// Empty until the stop begins.
    [[nodiscard]] std::optional<stop_schedule> schedule() const
    {
        const std::lock_guard lock{mutex_};
        return schedule_;
    }

    /// Whether a request is accepted; see `stop_schedule::admits`. One that is not is counted.
    [[nodiscard]] bool admit(time_point read_at, time_point deadline)
    {
        if (!stopping())
        {
            return true;
        }
        const std::lock_guard lock{mutex_};
        const bool admitted = schedule_->admits(read_at, deadline);
        summary_.refused += admitted ? 0U : 1U;
        return admitted;
    }

    void count_refused()
    {
        const std::lock_guard lock{mutex_};
        ++summary_.refused;
    }

    void count_cut()
    {
        const std::lock_guard lock{mutex_};
        ++summary_.cut;
    }

    [[nodiscard]] stop_summary summary() const
    {
        const std::lock_guard lock{mutex_};
        return summary_;
    }

private:
    std::atomic<bool> stopping_{false}; ///< Whether `schedule_` is set.
    mutable std::mutex mutex_;
    std::optional<stop_schedule> schedule_; ///< Guarded by `mutex_`. Not changed once it is set.
    stop_summary summary_;                  ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

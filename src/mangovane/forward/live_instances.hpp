// Number of live instances, among which the room of a service is divided.
#ifndef MANGOVANE_FORWARD_LIVE_INSTANCES_HPP
#define MANGOVANE_FORWARD_LIVE_INSTANCES_HPP

#include <algorithm>
#include <compare>
#include <cstdint>
#include <mutex>

#include "mangovane/core/time.hpp"

namespace mangovane
{

struct live_count
{
    std::uint32_t instances{1}; ///< With this one; at least 1.
    bool hears_no_other{false}; ///< Other instances were known, and none of them is live.

    auto operator<=>(const live_count&) const = default;
};

/// The largest number in the current and the previous period. The others are lost one after the
/// other when an instance is cut off, and its share must not grow meanwhile. While it hears from no
/// other, the last number stays. Thread-safe.
class live_instances
{
public:
    /// Records the number of live instances, with this one, and whether any was lost that has not
    /// left on its own.
    void record(std::uint32_t live, bool lost, time_point now)
    {
        const std::lock_guard lock{mutex_};
        alone_ = live <= 1 && lost;
        if (alone_)
        {
            period_start_ = now;
            return;
        }
        if (now >= period_start_ + period)
        {
            previous_ = current_;
            current_ = live;
            period_start_ = now;
        }
        current_ = std::max(current_, live);
    }

    [[nodiscard]] live_count value() const
    {
        const std::lock_guard lock{mutex_};
        const auto instances = std::max(current_, previous_);
        return {instances, alone_ && instances > 1};
    }

    /// Longer than the membership takes to declare all other members dead.
    static constexpr seconds period{15};

private:
    mutable std::mutex mutex_;
    std::uint32_t current_{1};  ///< Since `period_start_`. Guarded by `mutex_`.
    std::uint32_t previous_{1}; ///< In the period before. Guarded by `mutex_`.
    time_point period_start_{}; ///< Guarded by `mutex_`.
    bool alone_{false};         ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

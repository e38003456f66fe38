// Planned share of a service's requests that the ordered version gets over the time of a rollout.
// Answers a version that is bad from the start, later, or only under load: until the traffic moves
// as a whole, the planned requests stay within what a bad version may get.
#ifndef MANGOVANE_ROLLOUT_SHARE_SCHEDULE_HPP
#define MANGOVANE_ROLLOUT_SHARE_SCHEDULE_HPP

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>

#include "mangovane/rollout/rollout_policy.hpp"

namespace mangovane
{

/// A share that is in force from a moment on. Moments are fractions of the rollout's duration.
struct schedule_step
{
    double from{0};
    double share{0}; ///< Of the service's requests, 0 to 1.

    auto operator<=>(const schedule_step&) const = default;
};

/// Immutable. All steps but the last together plan at most `planned_exposure * canary_share` of the
/// requests that are expected until the deadline.
class share_schedule
{
public:
    static constexpr std::size_t step_count = 5;

    explicit share_schedule(double canary_share) noexcept;

    /// Step `n`, from 0; the last one has share 1.
    [[nodiscard]] const schedule_step& step(std::size_t n) const noexcept { return steps_.at(n); }

    /// The last step that is due at a fraction of the duration.
    [[nodiscard]] std::size_t step_due(double fraction) const noexcept;

    /// Largest share of a step before the whole traffic moves, at this rate of the service's
    /// requests: what a version gets from when it turns bad until the verdict has spread stays
    /// within the part of the permitted exposure that is not planned. Without requests it is 1.
    [[nodiscard]] static double largest_share(const rollout_policy& policy,
                                              double requests_per_second,
                                              std::chrono::duration<double> length) noexcept;

    /// Part of the permitted exposure that is planned; the rest covers requests that arrive while
    /// the verdict spreads.
    static constexpr double planned_exposure = 0.85;

    /// The whole traffic moves at this fraction of the duration: late, because a version that turns
    /// bad after that exceeds its share at once, and early enough for long streams at the old
    /// version to end.
    static constexpr double full_from = 0.62;

    /// A rollout that has not moved the whole traffic by this fraction of the duration cannot be
    /// completed in time.
    static constexpr double full_until = 0.75;

private:
    std::array<schedule_step, step_count> steps_;
};

} // namespace mangovane

#endif

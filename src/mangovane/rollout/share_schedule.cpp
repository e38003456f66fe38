// Implementation of the share schedule.
#include "mangovane/rollout/share_schedule.hpp"

#include <algorithm>

namespace mangovane
{

namespace
{

/// A step between the canary and the whole traffic. It lasts `length * canary_share` of the
/// duration, so that its exposure is in proportion to the permitted one.
struct ramp_step
{
    double share;
    double length;
};

/// Shows a version that is bad only under load while its exposure is small.
constexpr std::array<ramp_step, share_schedule::step_count - 2> ramp{
    {{0.15, 1.0}, {0.3, 0.6}, {0.4, 0.6}}};

} // namespace

share_schedule::share_schedule(double canary_share) noexcept
{
    double ramp_length = 0;
    double ramp_exposure = 0;
    for (const auto& it : ramp)
    {
        ramp_length += it.length * canary_share;
        ramp_exposure += it.length * canary_share * it.share;
    }
    const double canary_length = full_from - ramp_length;
    const double canary_exposure = planned_exposure * canary_share - ramp_exposure;
    steps_.front() = {0, std::clamp(canary_exposure / canary_length, 0.0, canary_share)};
    double from = canary_length;
    for (std::size_t n = 0; n != ramp.size(); ++n)
    {
        steps_[n + 1] = {from, ramp[n].share};
        from += ramp[n].length * canary_share;
    }
    steps_.back() = {full_from, 1};
}

double share_schedule::largest_share(const rollout_policy& policy,
                                     double requests_per_second,
                                     std::chrono::duration<double> length) noexcept
{
    const std::chrono::duration<double> spread = policy.spread_time();
    const double expected = requests_per_second * length.count();
    const double unplanned =
        (1 - planned_exposure) * policy.canary_share * expected + policy.canary_tolerance;
    const double arriving = requests_per_second * spread.count();
    return arriving <= 0 ? 1 : std::min(1.0, unplanned / arriving);
}

std::size_t share_schedule::step_due(double fraction) const noexcept
{
    const auto next = std::find_if(steps_.begin() + 1, steps_.end(),
                                   [&](const schedule_step& it) { return fraction < it.from; });
    return static_cast<std::size_t>(next - steps_.begin()) - 1;
}

} // namespace mangovane

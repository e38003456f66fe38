// Limits of a rollout, from the settings of the deployment.
#ifndef MANGOVANE_ROLLOUT_ROLLOUT_POLICY_HPP
#define MANGOVANE_ROLLOUT_ROLLOUT_POLICY_HPP

#include <compare>

#include "mangovane/core/time.hpp"

namespace mangovane
{

struct rollout_policy
{
    /// Largest fraction of a service's requests that may reach a version that turns out to be bad;
    /// 0: this deployment has no rollouts.
    double canary_share{0};
    double canary_tolerance{0};    ///< Requests allowed beyond that.
    milliseconds rollback_time{0}; ///< From the 50th bad response to the last request.

    [[nodiscard]] bool enabled() const noexcept { return canary_share > 0; }

    auto operator<=>(const rollout_policy&) const = default;
};

} // namespace mangovane

#endif

// Limits of a rollout, from the settings of the deployment.
#ifndef MANGOVANE_ROLLOUT_ROLLOUT_POLICY_HPP
#define MANGOVANE_ROLLOUT_ROLLOUT_POLICY_HPP

#include <algorithm>
#include <compare>

#include "mangovane/core/time.hpp"

namespace mangovane
{

struct rollout_policy
{
    /// Largest fraction of a service's requests that may reach a version that turns out to be bad;
    /// 0: this deployment has no rollouts.
    double canary_share{0};
    double canary_tolerance{0}; ///< Requests allowed beyond that.
    /// Longest time from the 50th bad response to the last request; 0: not stated.
    milliseconds rollback_time{0};

    [[nodiscard]] bool enabled() const noexcept { return canary_share > 0; }

    /// Period of the reports to instances of other domains. The counts that decide, and then the
    /// verdict, each wait for at most a report and two ticks, so that a fifth of the rollback time
    /// leaves room for slow links.
    [[nodiscard]] milliseconds remote_report_period() const noexcept
    {
        return rollback_time.count() == 0 ? max_report_period
                                          : std::clamp(rollback_time / periods_to_roll_back,
                                                       min_report_period, max_report_period);
    }

    /// Period of the reports inside a domain.
    [[nodiscard]] milliseconds local_report_period() const noexcept
    {
        return remote_report_period() / 2;
    }

    /// Time in which bad responses become known at all instances and the verdict reaches them.
    [[nodiscard]] milliseconds spread_time() const noexcept { return 2 * remote_report_period(); }

    static constexpr int periods_to_roll_back = 5;

    /// Reports more often than this would cost more traffic between instances than the digests of
    /// loads, which are sent each 200 ms.
    static constexpr milliseconds min_report_period{200};
    static constexpr milliseconds max_report_period{1000};

    /// A shorter rollback time cannot be kept.
    static constexpr milliseconds min_rollback_time{min_report_period * periods_to_roll_back};

    auto operator<=>(const rollout_policy&) const = default;
};

} // namespace mangovane

#endif

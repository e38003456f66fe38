// The ramp of an endpoint in cold start: how many slots it may have, summed over all instances.
#ifndef MANGOVANE_LEDGER_COLD_RAMP_HPP
#define MANGOVANE_LEDGER_COLD_RAMP_HPP

#include <cstdint>

#include "mangovane/core/time.hpp"
#include "mangovane/settings/policy.hpp"

namespace mangovane
{

class cold_ramp
{
public:
    /// Starts cold at `slots`, at least the policy's `ramp_start`.
    cold_ramp(const service_policy& policy, std::uint32_t slots, time_point now) noexcept;

    /// Slots the ramp allows now.
    [[nodiscard]] std::uint32_t allowed() const noexcept { return allowed_; }

    /// A request succeeded; doubles the slots when a whole step has passed without overload.
    void on_success(const service_policy& policy, time_point now) noexcept;

    /// The endpoint showed overload; halves the slots, not below `ramp_start`.
    void on_overload(const service_policy& policy, time_point now) noexcept;

    /// The endpoint restarted or says that it is cold: back to `ramp_start`.
    void restart(const service_policy& policy, time_point now) noexcept;

    /// The endpoint bears at least this many slots: a former owner granted them.
    void raise_to(std::uint32_t slots) noexcept;

    auto operator<=>(const cold_ramp&) const = default;

private:
    std::uint32_t allowed_; ///< At least `ramp_start`, at least 1.
    time_point step_ends_;  ///< The slots do not grow before.
};

} // namespace mangovane

#endif

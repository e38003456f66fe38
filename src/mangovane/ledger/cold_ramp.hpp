// Slow start of a cold endpoint: the number of slots that all instances together may use.
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
    /// Starts at `slots`, but at least at the policy's `ramp_start`.
    cold_ramp(const service_policy& policy, std::uint32_t slots, time_point now) noexcept;

    /// Slots that the ramp currently allows.
    [[nodiscard]] std::uint32_t allowed() const noexcept { return allowed_; }

    /// Records a successful request; doubles the slots when a whole step has passed without
    /// overload.
    void on_success(const service_policy& policy, time_point now) noexcept;

    /// Records overload of the endpoint; halves the slots, but not below `ramp_start`.
    void on_overload(const service_policy& policy, time_point now) noexcept;

    /// Resets to `ramp_start` after the endpoint has restarted or reported that it is cold.
    void restart(const service_policy& policy, time_point now) noexcept;

    /// Raises the slots to at least this number, which a previous owner has already granted.
    void raise_to(std::uint32_t slots) noexcept;

    auto operator<=>(const cold_ramp&) const = default;

private:
    std::uint32_t allowed_; ///< At least `ramp_start`, at least 1.
    time_point step_ends_;  ///< The slots do not grow before this time.
};

} // namespace mangovane

#endif

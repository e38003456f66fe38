// The load bound of an endpoint, and the local shares used while its owner is unreachable.
#ifndef MANGOVANE_LEDGER_BOUND_HPP
#define MANGOVANE_LEDGER_BOUND_HPP

#include <cstdint>

#include "mangovane/message/slot.hpp"
#include "mangovane/settings/policy.hpp"

namespace mangovane
{

/// Load of a service over all its endpoints that take work.
struct service_load
{
    std::uint32_t total_in_flight{0};
    std::uint32_t ready_endpoints{0};

    auto operator<=>(const service_load&) const = default;
};

/// Slots an endpoint may have in flight:
/// max(min_slots, ceil(load_bound * (total_in_flight + 1) / ready_endpoints)), at most
/// max_in_flight.
[[nodiscard]] std::uint32_t load_bound_slots(const service_policy& policy,
                                             const service_load& load) noexcept;

/// The part of the bound open to a purpose: new chats only up to the mean, rounded up.
[[nodiscard]] std::uint32_t slots_for_purpose(const service_policy& policy,
                                              const service_load& load,
                                              slot_purpose purpose) noexcept;

/// Part of `allowed` that the instance with this rank may use alone; sums to `allowed` over all
/// ranks.
[[nodiscard]] constexpr std::uint32_t
local_share(std::uint32_t allowed, std::size_t rank, std::size_t instances) noexcept
{
    if (instances == 0 || rank >= instances)
    {
        return 0;
    }
    const auto n = static_cast<std::uint32_t>(instances);
    return allowed / n + (rank < allowed % n ? 1U : 0U);
}

} // namespace mangovane

#endif

// The load bound of an endpoint, and the local share of it that an instance uses while the owner is
// unreachable.
#ifndef MANGOVANE_LEDGER_BOUND_HPP
#define MANGOVANE_LEDGER_BOUND_HPP

#include <cstdint>

#include "mangovane/message/slot.hpp"
#include "mangovane/settings/policy.hpp"

namespace mangovane
{

/// Load of a service over all its endpoints that accept requests.
struct service_load
{
    std::uint32_t total_in_flight{0};
    std::uint32_t ready_endpoints{0};

    auto operator<=>(const service_load&) const = default;
};

/// Slots that an endpoint may have in flight: the maximum of `min_slots`, `load_bound *
/// (total_in_flight + 1) / ready_endpoints` rounded to nearest, and `(total_in_flight + 1) /
/// ready_endpoints` rounded up; at most `max_in_flight`.
[[nodiscard]] std::uint32_t load_bound_slots(const service_policy& policy,
                                             const service_load& load) noexcept;

/// The part of the bound available to a purpose. With `new_chat_headroom`, new chats only get slots
/// up to the mean, rounded up, and at least `min_slots`.
[[nodiscard]] std::uint32_t slots_for_purpose(const service_policy& policy,
                                              const service_load& load,
                                              slot_purpose purpose) noexcept;

/// Part of `allowed` that the instance with this rank may use without the owner; the parts of all
/// ranks add up to `allowed`.
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

// Implementation of the load bound.
#include "mangovane/ledger/bound.hpp"

#include <algorithm>
#include <cmath>

namespace mangovane
{

namespace
{

std::uint32_t multiple_of_mean(double multiple, const service_load& load) noexcept
{
    const auto endpoints = std::max(load.ready_endpoints, 1U);
    const auto total = static_cast<double>(load.total_in_flight) + 1.0;
    return static_cast<std::uint32_t>(std::ceil(multiple * total / endpoints));
}

} // namespace

std::uint32_t load_bound_slots(const service_policy& policy, const service_load& load) noexcept
{
    const auto n = std::max(policy.min_slots, multiple_of_mean(policy.load_bound, load));
    return std::min(n, policy.max_in_flight);
}

std::uint32_t
purpose_slots(const service_policy& policy, const service_load& load, slot_purpose purpose) noexcept
{
    const auto bound = load_bound_slots(policy, load);
    if (purpose != slot_purpose::new_chat || !policy.new_chat_headroom)
    {
        return bound;
    }
    return std::min(bound, std::max(policy.min_slots, multiple_of_mean(1.0, load)));
}

} // namespace mangovane

// Implementation of the load bound.
#include "mangovane/ledger/bound.hpp"

#include <algorithm>
#include <cmath>

namespace mangovane
{

namespace
{

/// Load of the service including one more request.
double next_total(const service_load& load) noexcept
{
    return static_cast<double>(load.total_in_flight) + 1.0;
}

double ready_endpoint_count(const service_load& load) noexcept
{
    return std::max(load.ready_endpoints, 1U);
}

/// Smallest number of slots under which all endpoints together can take one more request.
std::uint32_t mean_slots(const service_load& load) noexcept
{
    return static_cast<std::uint32_t>(std::ceil(next_total(load) / ready_endpoint_count(load)));
}

} // namespace

std::uint32_t load_bound_slots(const service_policy& policy, const service_load& load) noexcept
{
    // Rounded to nearest: rounding up would allow 11 slots at a mean of 8 under a bound of 1.25.
    // `mean_slots` is a lower limit: rounding down alone would stop a service whose mean is so low
    // that the multiple rounds down to the mean itself.
    const auto multiple =
        std::lround(policy.load_bound * next_total(load) / ready_endpoint_count(load));
    const auto n =
        std::max({policy.min_slots, static_cast<std::uint32_t>(multiple), mean_slots(load)});
    return std::min(n, policy.max_in_flight);
}

std::uint32_t slots_for_purpose(const service_policy& policy,
                                const service_load& load,
                                slot_purpose purpose) noexcept
{
    const auto bound = load_bound_slots(policy, load);
    if (purpose != slot_purpose::new_chat || !policy.new_chat_headroom)
    {
        return bound;
    }
    return std::min(bound, std::max(policy.min_slots, mean_slots(load)));
}

} // namespace mangovane

// Implementation of the cold-start ramp.
#include "mangovane/ledger/cold_ramp.hpp"

#include <algorithm>

namespace mangovane
{

namespace
{

std::uint32_t first_step(const service_policy& policy) noexcept
{
    return std::max(policy.ramp_start, 1U);
}

} // namespace

cold_ramp::cold_ramp(const service_policy& policy, std::uint32_t slots, time_point now) noexcept
    : allowed_{std::max(slots, first_step(policy))}, step_ends_{now + policy.ramp_step}
{}

void cold_ramp::on_success(const service_policy& policy, time_point now) noexcept
{
    if (now < step_ends_)
    {
        return;
    }
    // Capped at twice the largest bound: more is never needed, and the product cannot overflow.
    allowed_ = std::min(allowed_, std::max(policy.max_in_flight, 1U)) * 2;
    step_ends_ = now + policy.ramp_step;
}

void cold_ramp::on_overload(const service_policy& policy, time_point now) noexcept
{
    allowed_ = std::max(allowed_ / 2, first_step(policy));
    step_ends_ = now + policy.ramp_step;
}

void cold_ramp::restart(const service_policy& policy, time_point now) noexcept
{
    *this = cold_ramp{policy, 0, now};
}

void cold_ramp::raise_to(std::uint32_t slots) noexcept
{
    allowed_ = std::max(allowed_, slots);
}

} // namespace mangovane

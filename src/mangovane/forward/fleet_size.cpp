// Implementation of the fleet size.
#include "mangovane/forward/fleet_size.hpp"

#include <algorithm>

namespace mangovane
{

void fleet_size::record(std::uint32_t members, time_point now)
{
    const std::lock_guard lock{mutex_};
    if (now >= period_start_ + period)
    {
        previous_ = current_;
        current_ = min_size;
        period_start_ = now;
    }
    current_ = std::max(current_, members);
}

std::uint32_t fleet_size::value() const
{
    const std::lock_guard lock{mutex_};
    return std::max(current_, previous_);
}

} // namespace mangovane

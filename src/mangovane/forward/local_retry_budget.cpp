// Implementation of the local retry budget.
#include "mangovane/forward/local_retry_budget.hpp"

#include <algorithm>

namespace mangovane
{

std::int64_t local_retry_budget::bucket_number(time_point now) const
{
    return now.time_since_epoch() / (duration{policy_.window} / bucket_count);
}

local_retry_budget::bucket& local_retry_budget::bucket_at(service_window& window,
                                                          time_point now) const
{
    const auto number = bucket_number(now);
    auto& it = window[static_cast<std::size_t>(number) % bucket_count];
    if (it.number != number)
    {
        it = bucket{number};
    }
    return it;
}

void local_retry_budget::on_request(service_id service, time_point now)
{
    windows_.with_entry(service, [&](service_window& it) { ++bucket_at(it, now).requests; });
}

bool local_retry_budget::try_retry(service_id service, std::uint32_t instances, time_point now)
{
    const auto oldest = bucket_number(now) - static_cast<std::int64_t>(bucket_count) + 1;
    const auto try_take = [&](service_window& window)
    {
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
        for (const auto& it : window)
        {
            requests += it.number >= oldest ? it.requests : 0;
            retries += it.number >= oldest ? it.retries : 0;
        }
        const auto slack = policy_.slack / std::max<std::uint32_t>(instances, 1);
        const auto allowed = safety_factor * (policy_.ratio * requests + slack);
        if (retries + 1 > allowed)
        {
            return false;
        }
        ++bucket_at(window, now).retries;
        return true;
    };
    return windows_.with_entry(service, try_take);
}

} // namespace mangovane

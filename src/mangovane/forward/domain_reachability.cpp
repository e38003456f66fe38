// Implementation of the reachability of failure domains.
#include "mangovane/forward/domain_reachability.hpp"

#include <algorithm>

namespace mangovane
{

void domain_reachability::on_message(domain_id domain, time_point now)
{
    const std::lock_guard lock{mutex_};
    domains_[domain].heard_at = now;
}

void domain_reachability::on_response(domain_id domain)
{
    const std::lock_guard lock{mutex_};
    auto& it = domains_[domain];
    it.unreachable.clear();
    it.suspected_until = {};
    it.next_suspicion = first_suspicion;
}

void domain_reachability::on_unreachable(domain_id domain, endpoint_id endpoint, time_point now)
{
    const std::lock_guard lock{mutex_};
    auto& it = domains_[domain];
    const bool known =
        std::find(it.unreachable.begin(), it.unreachable.end(), endpoint) != it.unreachable.end();
    if (!known && it.unreachable.size() < min_unreachable_endpoints)
    {
        it.unreachable.push_back(endpoint);
    }
    const bool silent = it.heard_at != time_point{} && now >= it.heard_at + silence_timeout;
    if (!silent && it.unreachable.size() < min_unreachable_endpoints)
    {
        return;
    }
    if (now >= it.suspected_until)
    {
        it.suspected_until = now + it.next_suspicion;
        it.next_suspicion = std::min<duration>(it.next_suspicion * 2, longest_suspicion);
    }
}

std::vector<domain_id> domain_reachability::suspected(time_point now) const
{
    std::vector<domain_id> result;
    const std::lock_guard lock{mutex_};
    for (const auto& [domain, it] : domains_)
    {
        if (now < it.suspected_until)
        {
            result.push_back(domain);
        }
    }
    return result;
}

} // namespace mangovane

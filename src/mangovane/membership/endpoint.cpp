// Implementation of the endpoint directory.
#include "mangovane/membership/endpoint.hpp"

#include <algorithm>
#include <utility>

namespace mangovane
{

endpoint_directory::endpoint_directory(std::vector<endpoint_info> endpoints)
    : endpoints_{std::move(endpoints)}
{
    std::sort(endpoints_.begin(), endpoints_.end(),
              [](const endpoint_info& lhs, const endpoint_info& rhs) { return lhs.id < rhs.id; });
    for (const auto& it : endpoints_)
    {
        by_id_.emplace(it.id, &it);
        by_service_[it.service].push_back(&it);
    }
}

const endpoint_info* endpoint_directory::find(endpoint_id id) const noexcept
{
    const auto it = by_id_.find(id);
    return it == by_id_.end() ? nullptr : it->second;
}

const std::vector<const endpoint_info*>&
endpoint_directory::of_service(service_id service) const noexcept
{
    static const std::vector<const endpoint_info*> none;
    const auto it = by_service_.find(service);
    return it == by_service_.end() ? none : it->second;
}

} // namespace mangovane

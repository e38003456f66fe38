// Implementation of the routing table.
#include "mangovane/routing/routing_table.hpp"

#include <algorithm>
#include <utility>

namespace mangovane
{

namespace
{

template <class Id>
bool allows(const std::vector<Id>& allowed, Id id)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), id) != allowed.end();
}

bool serves(const endpoint_info& endpoint, model_id model)
{
    return model.empty() || allows(endpoint.models, model);
}

} // namespace

routing_table::routing_table(endpoints_ptr endpoints, settings_ptr settings)
    : endpoints_{std::move(endpoints)}, settings_{std::move(settings)}
{
    for (const auto& it : endpoints_->all())
    {
        if (!closed(it.id))
        {
            open_[it.service].push_back(&it);
        }
    }
}

std::vector<candidate>
routing_table::candidates(service_id service, const account_policy& account, model_id model) const
{
    std::vector<candidate> result;
    const auto it = open_.find(service);
    if (it == open_.end() || !allows(account.services, service) ||
        (!model.empty() && !allows(account.models, model)))
    {
        return result;
    }
    result.reserve(it->second.size());
    for (const auto* endpoint : it->second)
    {
        if (allows(account.domains, endpoint->domain) && serves(*endpoint, model))
        {
            result.push_back(candidate{endpoint->id, 0});
        }
    }
    return result;
}

std::size_t routing_table::open_count(service_id service) const
{
    const auto it = open_.find(service);
    return it == open_.end() ? 0 : it->second.size();
}

std::optional<slot_refusal_reason> routing_table::closed(endpoint_id endpoint) const
{
    const auto* info = endpoints_->find(endpoint);
    return info == nullptr ? slot_refusal_reason::unknown_endpoint : closed(*info);
}

std::optional<slot_refusal_reason> routing_table::closed(const endpoint_info& endpoint) const
{
    if (endpoint.leaving)
    {
        return slot_refusal_reason::leaving;
    }
    // Usually both are empty, and each choice asks for all endpoints of a service.
    const auto& domains = settings_->domains_out;
    const auto& drained = settings_->endpoints_drained;
    if ((!domains.empty() && domains.contains(endpoint.domain)) ||
        (!drained.empty() && drained.contains(endpoint.id)))
    {
        return slot_refusal_reason::drained;
    }
    return std::nullopt;
}

} // namespace mangovane

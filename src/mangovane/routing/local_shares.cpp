// Implementation of the local shares.
#include "mangovane/routing/local_shares.hpp"

namespace mangovane
{

bool local_shares::try_acquire(endpoint_id endpoint, const service_load& load)
{
    const auto routes = state_.routes();
    const auto view = state_.view();
    const auto* info = routes->find(endpoint);
    const auto* policy = info == nullptr ? nullptr : routes->settings().find_service(info->service);
    const auto rank = view->rank_of(endpoint.value(), state_.self().id);
    if (policy == nullptr || !rank || routes->closed(endpoint))
    {
        return false;
    }
    const auto share = local_share(load_bound_slots(*policy, load), *rank, view->eligible_count());
    return in_use_.with(endpoint,
                        [&](std::uint32_t& n)
                        {
                            if (n >= share)
                            {
                                return false;
                            }
                            ++n;
                            return true;
                        });
}

void local_shares::release(endpoint_id endpoint)
{
    in_use_.with_shard(endpoint,
                       [&](auto& map)
                       {
                           const auto it = map.find(endpoint);
                           if (it != map.end() && --it->second == 0)
                           {
                               map.erase(it);
                           }
                       });
}

} // namespace mangovane

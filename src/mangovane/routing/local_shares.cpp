// Implementation of the local shares.
#include "mangovane/routing/local_shares.hpp"

#include <algorithm>

namespace mangovane
{

bool local_shares::try_acquire(endpoint_id endpoint, const service_load& load, time_point now)
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
    const auto bound = load_bound_slots(*policy, load);
    return shares_.with_entry(endpoint,
                              [&](share& it)
                              {
                                  it.poll_until = now + poll_request_validity;
                                  // The owner's position on the ramp is unknown, so the start of
                                  // the ramp is shared.
                                  const auto slots =
                                      it.cold ? std::min(bound, policy->ramp_start) : bound;
                                  const auto n = local_share(slots, *rank, view->eligible_count());
                                  if (now >= it.available_until || it.in_use >= n)
                                  {
                                      return false;
                                  }
                                  ++it.in_use;
                                  return true;
                              });
}

void local_shares::release(endpoint_id endpoint)
{
    shares_.find(endpoint, [](share& it) { it.in_use -= it.in_use > 0 ? 1U : 0U; });
}

void local_shares::on_poll(endpoint_id endpoint, endpoint_poll_state poll_state, time_point now)
{
    const bool available = poll_state != endpoint_poll_state::unavailable;
    shares_.find(endpoint,
                 [&](share& it)
                 {
                     it.available_until = available ? now + poll_validity : now;
                     it.cold = poll_state == endpoint_poll_state::cold;
                 });
}

std::vector<endpoint_id> local_shares::pending_polls(time_point now)
{
    std::vector<endpoint_id> result;
    shares_.for_each_shard(
        [&](auto& entries)
        {
            absl::erase_if(entries, [&](const auto& it)
                           { return it.second.in_use == 0 && it.second.poll_until <= now; });
            for (const auto& [endpoint, it] : entries)
            {
                result.push_back(endpoint);
            }
        });
    return result;
}

} // namespace mangovane

// Implementation of the flow table.
#include "mangovane/routing/flow_table.hpp"

#include <utility>

namespace mangovane
{

void flow_table::insert(std::uint64_t number,
                        request_flow flow,
                        std::shared_ptr<request_callbacks> callbacks)
{
    flows_.with_shard(number,
                      [&](auto& map) {
                          map.emplace(number, entry{std::move(flow), std::move(callbacks), {}});
                      });
}

flow_step flow_table::step(std::uint64_t number, const flow_event& event, const flow_context& ctx)
{
    flow_step result;
    flows_.with_shard(number,
                      [&](auto& map)
                      {
                          const auto it = map.find(number);
                          if (it == map.end())
                          {
                              return;
                          }
                          result.actions = it->second.flow.on_event(event, ctx);
                          result.callbacks = it->second.callbacks;
                          if (it->second.flow.finished())
                          {
                              result.ended = true;
                              result.limits = std::move(it->second.limits);
                              map.erase(it);
                          }
                      });
    return result;
}

bool flow_table::set_limits(std::uint64_t number, std::vector<limit_rule> limits)
{
    return flows_.find(number, [&](entry& it) { it.limits = std::move(limits); });
}

std::optional<account_id> flow_table::account_of(std::uint64_t number)
{
    std::optional<account_id> result;
    flows_.find(number, [&](const entry& it) { result = it.flow.request().account; });
    return result;
}

absl::flat_hash_map<endpoint_id, std::vector<held_slot>> flow_table::held_slots()
{
    absl::flat_hash_map<endpoint_id, std::vector<held_slot>> result;
    flows_.for_each_shard(
        [&](const auto& map)
        {
            for (const auto& [number, it] : map)
            {
                const auto* attempt = it.flow.held_slot();
                if (attempt != nullptr && !it.flow.slot_is_local())
                {
                    result[it.flow.slot_endpoint()].push_back(
                        {*attempt, it.flow.request().deadline, it.flow.response_started()});
                }
            }
        });
    return result;
}

} // namespace mangovane

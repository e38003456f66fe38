// Implementation of the engine fleet model.
#include "bench/engine_fleet.hpp"

#include <algorithm>
#include <utility>

#include "mangovane/core/hash.hpp"

namespace mangovane::bench
{

engine_fleet::engine_fleet(service_policy policy, std::size_t engines, std::uint64_t cache_units)
    : policy_{std::move(policy)}, cache_units_{cache_units}
{
    for (std::size_t n = 0; n != engines; ++n)
    {
        positions_.push_back(add_engine());
    }
    rebuild_candidates();
}

std::size_t engine_fleet::add_engine()
{
    const auto index = engines_.size();
    const endpoint_id id{hash_combine(index, 0x656e67ULL)};
    engines_.push_back(engine{id, true, 0, prefix_cache{cache_units_}, {}});
    indexes_.emplace(id, index);
    return index;
}

bool engine_fleet::try_acquire_slot(std::size_t index, slot_purpose purpose)
{
    auto& it = engines_[index];
    if (!it.accepting || it.in_flight >= slots_for_purpose(policy_, load_, purpose))
    {
        return false;
    }
    ++it.in_flight;
    ++load_.total_in_flight;
    return true;
}

void engine_fleet::release_slot(std::size_t index)
{
    auto& it = engines_[index];
    --it.in_flight;
    load_.total_in_flight -= it.accepting ? 1 : 0;
}

void engine_fleet::replace_engine(std::size_t position)
{
    engines_[positions_[position]].accepting = false;
    positions_[position] = add_engine();
    rebuild_candidates();
}

void engine_fleet::set_accepting(std::size_t position, bool accepting)
{
    engines_[positions_[position]].accepting = accepting;
    rebuild_candidates();
}

void engine_fleet::rebuild_candidates()
{
    candidates_.clear();
    load_ = {};
    for (const auto index : positions_)
    {
        const auto& it = engines_[index];
        if (it.accepting)
        {
            candidates_.push_back({it.id, it.in_flight});
            load_.total_in_flight += it.in_flight;
            ++load_.ready_endpoints;
        }
    }
    std::sort(candidates_.begin(), candidates_.end());
}

void engine_fleet::publish_loads()
{
    for (auto& it : candidates_)
    {
        it.reported_load = engines_[index_of(it.endpoint)].in_flight;
    }
}

} // namespace mangovane::bench

// The scenarios and policies of the reuse measurement.
#include "bench/reuse_scenario.hpp"

#include <array>

#include "mangovane/placement/placement_strategy.hpp"

namespace mangovane::bench
{

namespace
{

constexpr std::array sizes{
    fleet_size{"20x8_bound_1.25", 20, 8, 1.25, seconds{3600}, seconds{7200}},
    fleet_size{"20x8_bound_1.5", 20, 8, 1.5, seconds{3600}, seconds{7200}},
    fleet_size{"40x50_bound_1.25", 40, 50, 1.25, seconds{2400}, seconds{1200}},
};

} // namespace

std::string reuse_scenario::name() const
{
    return std::string{size.name} + "." + std::string{injector->name()};
}

std::vector<reuse_scenario> all_scenarios()
{
    std::vector<reuse_scenario> result;
    for (const auto& size : sizes)
    {
        for (const auto* injector : all_fault_injectors())
        {
            result.push_back({size, injector, 20261204});
        }
    }
    return result;
}

std::vector<reuse_policy> all_policies()
{
    std::vector<reuse_policy> result;
    for (const auto name : strategy_names())
    {
        result.push_back({name, name, true});
    }
    result.push_back({"ceiling", "bounded_hash", false});
    return result;
}

service_policy service_for(const reuse_scenario& scenario, const reuse_policy& policy)
{
    constexpr double no_bound = 1e6;
    service_policy result;
    result.load_bound = policy.bounded ? scenario.size.load_bound : no_bound;
    result.max_in_flight = UINT32_MAX;
    return result;
}

} // namespace mangovane::bench

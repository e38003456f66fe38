// Scenarios, policies and results of the reuse measurement.
#ifndef MANGOVANE_BENCH_REUSE_SCENARIO_HPP
#define MANGOVANE_BENCH_REUSE_SCENARIO_HPP

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "bench/fault_injector.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/settings/policy.hpp"

namespace mangovane::bench
{

/// Size of a fleet and its load.
struct fleet_size
{
    std::string_view name;
    std::size_t engines{0};
    std::uint32_t mean_in_flight{0}; ///< Per engine.
    double load_bound{1};
    seconds warm_up{0};  ///< Not measured; longer than a chat lasts.
    seconds measured{0}; ///< A multiple of 600 s, for whole cycles of each fault injector.

    auto operator<=>(const fleet_size&) const = default;
};

struct reuse_scenario
{
    fleet_size size;
    const fault_injector* injector{nullptr};
    std::uint64_t seed{1};

    [[nodiscard]] std::string name() const;
    bool operator==(const reuse_scenario&) const = default;
};

struct reuse_policy
{
    std::string_view name;
    std::string_view strategy; ///< Argument of `make_strategy`.
    bool bounded{true};        ///< Whether the load bound is enforced.

    auto operator<=>(const reuse_policy&) const = default;
};

struct reuse_result
{
    /// Cached units on the chosen engines / the most that an accepting engine had cached, both
    /// summed over the requests.
    double reuse_ratio{0};
    double largest_load{0}; ///< Largest load of an engine / mean load at that time.
    double wait_p99_ms{0};  ///< From arrival to dispatch.
    std::uint64_t requests{0};
    std::uint64_t refused{0};

    auto operator<=>(const reuse_result&) const = default;
};

/// Every fleet size with every fault injector.
[[nodiscard]] std::vector<reuse_scenario> all_scenarios();
/// The policy in use, the baselines, and, as the upper limit of the cache reuse, the strategy of
/// bounded hashing with its load bound disabled.
[[nodiscard]] std::vector<reuse_policy> all_policies();
/// Service settings of a run: the defaults with the load bound of the scenario.
[[nodiscard]] service_policy service_for(const reuse_scenario& scenario,
                                         const reuse_policy& policy);

} // namespace mangovane::bench

#endif

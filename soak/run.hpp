// Run of the soak for one seed.
#ifndef MANGOVANE_SOAK_RUN_HPP
#define MANGOVANE_SOAK_RUN_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "soak/deployment.hpp"
#include "soak/fault_plan.hpp"
#include "soak/invariant_checker.hpp"

namespace mangovane::soak
{

enum class soak_kind : std::uint8_t
{
    faults,  ///< Faults and changes with work that is short against all time bounds.
    stops,   ///< Series of stops with work that lasts up to the timeouts of the routes.
    changes, ///< Changes of the configuration and a store that comes back older, among faults.
};

struct soak_options
{
    soak_kind kind{soak_kind::faults};
    deployment_options deployment;
    std::size_t callers{24};
    std::size_t faults{10};
    bool brief{false};       ///< Skips the undisturbed phase of a run of faults.
    link_condition injected; ///< Condition of the links to all endpoints during the whole run.

    auto operator<=>(const soak_options&) const = default;
};

struct soak_result
{
    std::vector<violation> violations;
    std::size_t calls{0};
    std::size_t served{0};
    std::size_t runs{0};
    std::size_t timed_checks{0};
    std::size_t closed_unread{0}; ///< Requests whose connection closed without forwarding them.
    stop_counts at_stops;

    auto operator<=>(const soak_result&) const = default;
};

/// Plan of a seed.
[[nodiscard]] fault_plan plan_of(std::uint64_t seed, const soak_options& options);

/// Runs the plan of a seed. Signals only processes that it started.
[[nodiscard]] soak_result run_seed(std::uint64_t seed, const soak_options& options);

} // namespace mangovane::soak

#endif

// Run of the soak for one seed.
#ifndef MANGOVANE_SOAK_RUN_HPP
#define MANGOVANE_SOAK_RUN_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "soak/deployment.hpp"
#include "soak/invariant_checker.hpp"

namespace mangovane::soak
{

struct soak_options
{
    deployment_options deployment;
    std::size_t callers{24};
    std::size_t faults{10};
    bool brief{false};       ///< Skips the undisturbed phase.
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

    auto operator<=>(const soak_result&) const = default;
};

/// Runs the fault plan of a seed. Signals only processes that it started.
[[nodiscard]] soak_result run_seed(std::uint64_t seed, const soak_options& options);

} // namespace mangovane::soak

#endif

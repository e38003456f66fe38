// One run of the soak.
#ifndef MANGOVANE_SOAK_RUN_HPP
#define MANGOVANE_SOAK_RUN_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "soak/deployment.hpp"
#include "soak/judge.hpp"

namespace mangovane::soak
{

struct soak_options
{
    deployment_options deployment;
    std::size_t callers{24};
    std::size_t faults{10};
    bool brief{false};      ///< Without the calm part.
    link_condition planted; ///< Of the links to all endpoints, throughout.

    auto operator<=>(const soak_options&) const = default;
};

struct soak_result
{
    std::vector<breach> breaches;
    std::size_t calls{0};
    std::size_t served{0};
    std::size_t runs{0};
    std::size_t timed_checks{0};

    auto operator<=>(const soak_result&) const = default;
};

/// Plays a seed. Ends only processes that it started.
[[nodiscard]] soak_result play(std::uint64_t seed, const soak_options& options);

} // namespace mangovane::soak

#endif

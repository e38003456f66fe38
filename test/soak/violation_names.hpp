// Names of the violations that a checker of the soak finds.
#ifndef MANGOVANE_TEST_SOAK_VIOLATION_NAMES_HPP
#define MANGOVANE_TEST_SOAK_VIOLATION_NAMES_HPP

#include <string>
#include <vector>

#include "soak/run_observations.hpp"

namespace mangovane::soak
{

/// Invariants that the checker finds violated.
template <class Checker>
[[nodiscard]] std::vector<std::string> violated(const run_observations& observed)
{
    std::vector<std::string> result;
    for (const auto& it : Checker{observed}.all())
    {
        result.push_back(it.invariant);
    }
    return result;
}

inline const std::vector<std::string> none;

[[nodiscard]] inline std::vector<std::string> only(const std::string& name)
{
    return {name};
}

} // namespace mangovane::soak

#endif

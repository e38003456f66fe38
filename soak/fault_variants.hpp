// Variants of faults that a random value selects.
#ifndef MANGOVANE_SOAK_FAULT_VARIANTS_HPP
#define MANGOVANE_SOAK_FAULT_VARIANTS_HPP

#include <array>
#include <cstdint>

#include "soak/link_proxy.hpp"
#include "standin/fleet_engine.hpp"

namespace mangovane::soak
{

/// Holds requests, responses, or both.
[[nodiscard]] inline link_condition cut_of(std::uint64_t random_value)
{
    const auto way = random_value % 3;
    return {milliseconds{0}, way != 1, way != 2, false};
}

[[nodiscard]] inline standin::engine_fault engine_fault_of(std::uint64_t random_value)
{
    static constexpr std::array faults{standin::engine_fault::full,
                                       standin::engine_fault::error,
                                       standin::engine_fault::hang,
                                       standin::engine_fault::reset,
                                       standin::engine_fault::cut,
                                       standin::engine_fault::malformed,
                                       standin::engine_fault::wrong_attempt_id,
                                       standin::engine_fault::unsigned_answer,
                                       standin::engine_fault::ambiguous};
    return faults[random_value % faults.size()];
}

} // namespace mangovane::soak

#endif

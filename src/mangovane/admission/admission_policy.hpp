// Limits of the queue in front of a service that has no room.
#ifndef MANGOVANE_ADMISSION_ADMISSION_POLICY_HPP
#define MANGOVANE_ADMISSION_ADMISSION_POLICY_HPP

#include <compare>
#include <cstdint>

namespace mangovane
{

struct admission_policy
{
    bool enabled{false};
    std::uint32_t max_waiting{128};             ///< Requests of one service at this instance.
    std::uint64_t max_waiting_bytes{4'000'000}; ///< Of their heads and bodies.

    auto operator<=>(const admission_policy&) const = default;
};

} // namespace mangovane

#endif

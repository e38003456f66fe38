// What happens in a run and when: drawn from its seed alone, so that a seed can be played again.
#ifndef MANGOVANE_SOAK_FAULT_PLAN_HPP
#define MANGOVANE_SOAK_FAULT_PLAN_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane::soak
{

/// Faults come first, then the planned changes.
enum class fault_kind : std::uint8_t
{
    kill_router,  ///< And start it again at the end.
    pause_router, ///< Stopped by a signal, and continued.
    cut_store,    ///< A router's link to the store: one way, the other, or both.
    cut_peers,    ///< Other routers' links to a router, likewise.
    delay_peers,
    reset_links,   ///< All connections of a router to the store and from other routers.
    silence_links, ///< The same connections carry nothing more; new ones work.
    store_down,
    store_silent,
    store_slow,
    store_loses,      ///< It does what it is asked and its answers are lost.
    store_forgets,    ///< Its history is gone.
    endpoint_fails,   ///< Some requests meet one of the endpoint's own faults.
    endpoint_crashes, ///< Its connections are reset and new ones refused.
    endpoint_slow,
    endpoint_silent, ///< Its present connections carry nothing more.
    stop_router,     ///< SIGTERM, and a new process at its end.
    hang_up,         ///< SIGHUP.
    configure,
    add_cold_endpoint,
    drain_endpoint,
    take_domain_out,
};

inline constexpr std::size_t fault_kind_count = 22;
inline constexpr std::size_t first_planned_kind = static_cast<std::size_t>(fault_kind::stop_router);

[[nodiscard]] std::string_view name_of(fault_kind kind);

struct fault_event
{
    fault_kind kind{fault_kind::configure};
    milliseconds from{0};    ///< Since the start of the run.
    milliseconds until{0};   ///< End of what lasts.
    std::uint64_t chance{0}; ///< Chooses whom it hits and how.

    auto operator<=>(const fault_event&) const = default;
};

struct fault_plan
{
    std::vector<fault_event> events; ///< By their start.

    bool operator==(const fault_plan&) const = default;
};

/// Faults and changes that overlap, then, unless it is brief, a calm part with changes alone in
/// which bounds in time hold.
[[nodiscard]] fault_plan make_plan(std::uint64_t seed, std::size_t fault_count, bool brief);

} // namespace mangovane::soak

#endif

// Schedule of the faults and changes of a run. It depends on the seed alone, so that a run can be
// repeated.
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

/// Faults and, from `stop_router` to `take_domain_out`, planned changes.
enum class fault_kind : std::uint8_t
{
    kill_router,   ///< SIGKILL; restarted at the end.
    pause_router,  ///< SIGSTOP; SIGCONT at the end.
    cut_store,     ///< Holds data on a router's link to the store in one direction or both.
    cut_peers,     ///< Holds data on the links from other routers in one direction or both.
    delay_peers,   ///< Delays data on the links from other routers.
    reset_links,   ///< Resets a router's connections to the store and from other routers.
    silence_links, ///< Stalls the same connections, open ones only; new ones work.
    store_down,
    store_silent,     ///< The store accepts calls and sends no response.
    store_slow,       ///< The store delays its responses.
    store_loses,      ///< The store applies writes and resets the connection without a response.
    store_forgets,    ///< The store responds that it has discarded its history of changes.
    endpoint_fails,   ///< Some requests get one of the stand-in's faults.
    endpoint_crashes, ///< Connections are reset, and new ones too.
    endpoint_slow,    ///< Delays data on the link to an endpoint.
    endpoint_silent,  ///< Stalls the open connections.
    stop_router,      ///< SIGTERM; restarted at the end.
    hang_up,          ///< SIGHUP.
    configure,
    add_cold_endpoint,
    drain_endpoint,
    take_domain_out,
    endpoint_breaks_off,  ///< Responses end at any byte.
    pause_past_idle,      ///< SIGSTOP for longer than the idle timeout of connections.
    busy_cores,           ///< Threads that compute take cores from the routers.
    call_burst,           ///< Several hundred connections are opened at once.
    store_returns_older,  ///< The store is down for a moment and comes back from an older copy.
    uncontrolled_callers, ///< Callers send heads, trailers and empty lines without end to a router.
    order_rollout,        ///< Endpoints of a new version start, and an operator orders it.
};

inline constexpr std::size_t fault_kind_count = 29;
inline constexpr std::size_t first_planned_kind = static_cast<std::size_t>(fault_kind::stop_router);

[[nodiscard]] std::string_view name_of(fault_kind kind);

struct fault_event
{
    fault_kind kind{fault_kind::configure};
    milliseconds from{0};          ///< Since the start of the run.
    milliseconds until{0};         ///< End, for kinds with a duration.
    std::uint64_t random_value{0}; ///< Selects the target and the variant of the fault.

    auto operator<=>(const fault_event&) const = default;
};

struct fault_plan
{
    std::vector<fault_event> events; ///< Ordered by start.

    bool operator==(const fault_plan&) const = default;
};

/// Overlapping faults and changes. Unless `brief` is set, an undisturbed phase follows, which has
/// only planned changes, so that the time bounds can be checked.
[[nodiscard]] fault_plan make_plan(std::uint64_t seed, std::size_t fault_count, bool brief);

/// Planned work only, then the same among faults: stops of one router shortly after the other, with
/// SIGHUPs, configurations and leaving endpoints close to them. A third of the routers is not
/// stopped in the first phase.
[[nodiscard]] fault_plan
make_stop_plan(std::uint64_t seed, std::size_t fault_count, std::size_t routers);

/// Changes of the configuration, a rollout and a store that comes back older, among faults and
/// uncontrolled callers; then the same with no other fault, so that time bounds can be checked.
[[nodiscard]] fault_plan make_change_plan(std::uint64_t seed, std::size_t fault_count);

} // namespace mangovane::soak

#endif

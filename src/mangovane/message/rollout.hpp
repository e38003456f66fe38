// Messages about a rollout: what each instance has seen of both versions, and its end.
#ifndef MANGOVANE_MESSAGE_ROLLOUT_HPP
#define MANGOVANE_MESSAGE_ROLLOUT_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "mangovane/core/id.hpp"
#include "mangovane/core/store_revision.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/rollout/version_answers.hpp"

namespace mangovane
{

/// `running` until one of the others, which are final.
enum class rollout_state : std::uint8_t
{
    running,
    done,        ///< The ordered version serves all requests.
    rolled_back, ///< The ordered version gets no requests.
};

inline constexpr std::size_t rollout_state_count = 3;

/// Each instance to all others, while a rollout is running and some time after its end. Replaces
/// the sender's previous report.
struct rollout_report
{
    service_id service;
    store_revision order;
    std::string version;
    rollout_state state{rollout_state::running};
    time_point deadline; ///< Of the rollout; max: the sender does not know it.
    bool moved{false};   ///< The sender sends all requests to the ordered version.
    /// Requests of the sender that run at the version in force before the order.
    std::uint32_t running_at_current{0};
    std::vector<route_answers> routes; ///< At most `max_report_routes`.
    /// Endpoints of the ordered version with bad responses, at most `max_report_endpoints`: one bad
    /// endpoint is no bad version.
    std::vector<endpoint_id> bad_endpoints;

    bool operator==(const rollout_report&) const = default;
};

inline constexpr std::size_t max_report_routes = 64;
inline constexpr std::size_t max_report_endpoints = 4;
inline constexpr std::size_t max_report_version_bytes = 256;

} // namespace mangovane

#endif

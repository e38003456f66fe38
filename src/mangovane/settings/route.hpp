// Routes: select the service of a request by host and path, and define how it may be executed.
#ifndef MANGOVANE_SETTINGS_ROUTE_HPP
#define MANGOVANE_SETTINGS_ROUTE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// How often requests of a route may be executed.
enum class route_kind : std::uint8_t
{
    idempotent, ///< Any number of times.
    single_run, ///< At most once.
    stream,     ///< Answered with a stream of events; at most once unless the route is resumable.
};

/// A service of a route, with its share of the route's requests.
struct route_target
{
    service_id service;
    std::uint32_t weight{1};

    auto operator<=>(const route_target&) const = default;
};

struct route_policy
{
    std::string name;
    std::string host;   ///< Lower case, without a port.
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    route_kind kind{route_kind::single_run};
    bool resumable{false};         ///< A new attempt may resume a stream after its last event.
    bool anonymous{false};         ///< Callers need no key.
    bool sticky{false};            ///< Requests carry a prompt whose prefix an endpoint may cache.
    std::uint32_t max_attempts{1}; ///< Maximum endpoints that execute one request; at least 1.
    std::uint8_t urgency{5};       ///< 0 is the most urgent, 9 the least.
    milliseconds timeout{0};       ///< From a request's arrival to the last response byte; 0: none.
    milliseconds first_byte_goal{0};   ///< Objective for the first byte of the response; 0: none.
    milliseconds event_gap_goal{0};    ///< Objective for the time between events; 0: none.
    std::vector<route_target> targets; ///< Never empty.

    /// Whether another endpoint may continue a response that broke off.
    [[nodiscard]] bool may_resume() const noexcept
    {
        return kind == route_kind::stream && resumable;
    }

    /// Whether a request may be retried after an endpoint may have executed it.
    [[nodiscard]] bool may_repeat() const noexcept
    {
        return kind == route_kind::idempotent || may_resume();
    }

    /// Selects a service by weight; the same `hash` always selects the same service.
    [[nodiscard]] service_id pick_service(std::uint64_t hash) const noexcept;

    bool operator==(const route_policy&) const = default;
};

/// All routes of a settings version. Immutable after construction.
class route_list
{
public:
    route_list() = default;
    explicit route_list(std::vector<route_policy> routes);

    /// The route of the host whose prefix is the longest match of the path; null if there is none.
    /// The host is matched without regard to case.
    [[nodiscard]] const route_policy* match(std::string_view host, std::string_view path) const;

    [[nodiscard]] const std::vector<route_policy>& all() const noexcept { return routes_; }

    bool operator==(const route_list& rhs) const { return routes_ == rhs.routes_; }

private:
    std::vector<route_policy> routes_;
    absl::flat_hash_map<std::string, std::size_t> by_host_and_prefix_; ///< Index in `routes_`.
};

} // namespace mangovane

#endif

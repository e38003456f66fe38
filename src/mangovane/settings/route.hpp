// Routes: which service answers a request, found by host and path, and how it may be treated.
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

/// What a request on a route is, and with it how often it may run.
enum class route_kind : std::uint8_t
{
    idempotent, ///< May run any number of times.
    single_run, ///< May run once.
    stream,     ///< A series of events; may run once unless the route says that it can be resumed.
};

/// A service that answers a route, with its share of the route's requests.
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
    std::string prefix; ///< Begins and ends with a slash.
    route_kind kind{route_kind::single_run};
    bool resumable{false};           ///< Of a stream: a second run may go on after the last event.
    bool anonymous{false};           ///< Callers need no key.
    bool sticky{false};              ///< Requests carry a prompt whose prefix an endpoint may hold.
    std::uint32_t max_attempts{1};   ///< Endpoints that may run one request; at least 1.
    std::uint8_t urgency{5};         ///< 0 is the most urgent, 9 the least.
    milliseconds timeout{0};         ///< From the arrival of a request to its last byte; 0: none.
    milliseconds first_byte_goal{0}; ///< Objective for the first byte of the answer; 0: none.
    milliseconds event_gap_goal{0};  ///< Objective for the pause between events; 0: none.
    std::vector<route_target> targets; ///< Never empty.

    /// Whether a request may be sent again after an endpoint may have run it.
    [[nodiscard]] bool may_repeat() const noexcept
    {
        return kind == route_kind::idempotent || (kind == route_kind::stream && resumable);
    }

    /// Service for a request; `chance` is any number that belongs to the request.
    [[nodiscard]] service_id pick_service(std::uint64_t hash) const noexcept;

    bool operator==(const route_policy&) const = default;
};

/// All routes of a version of the settings. Immutable after construction.
class route_list
{
public:
    route_list() = default;
    explicit route_list(std::vector<route_policy> routes);

    /// Of the routes of the host, the one with the longest prefix of the path; null: none.
    [[nodiscard]] const route_policy* match(std::string_view host, std::string_view path) const;

    [[nodiscard]] const std::vector<route_policy>& all() const noexcept { return routes_; }

    bool operator==(const route_list& rhs) const { return routes_ == rhs.routes_; }

private:
    std::vector<route_policy> routes_;
    absl::flat_hash_map<std::string, std::size_t>
        by_host_and_prefix_; ///< Host and prefix to position.
};

} // namespace mangovane

#endif

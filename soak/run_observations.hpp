// Events of a soak run as observed by callers, endpoints and the operator: the only input of the
// invariant checks.
#ifndef MANGOVANE_SOAK_RUN_OBSERVATIONS_HPP
#define MANGOVANE_SOAK_RUN_OBSERVATIONS_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/outage_log.hpp"

namespace mangovane::soak
{

/// Deadline that callers send with requests whose work is short.
inline constexpr milliseconds request_deadline{2500};

/// Timeout of the routes with long work. It exceeds the drain delay, the wait for a first request
/// and the grace period of a stop.
inline constexpr milliseconds long_route_timeout{12000};

/// Time that the configuration allows for the header of a request.
inline constexpr milliseconds header_timeout{1000};

/// Kinds of requests; each has its own route.
enum class call_kind : std::uint8_t
{
    single_run,       ///< Plain, must run at most once.
    idempotent,       ///< Plain, idempotent.
    plain_stream,     ///< Stream, must run at most once.
    resumable_stream, ///< Resumable stream.
    probe,         ///< Requests the newest route, to find out whether its configuration is active.
    long_body,     ///< Plain, must run at most once; works for up to the timeout of its route.
    long_stream,   ///< Stream, must run at most once; lasts for up to the timeout of its route.
    removed_route, ///< Requests the route that only one configuration has.
    removed_key,   ///< Has the key that only one configuration accepts.
};

/// Whether the request must be refused once a later configuration than its own is in force.
[[nodiscard]] constexpr bool asks_for_removed(call_kind kind) noexcept
{
    return kind == call_kind::removed_route || kind == call_kind::removed_key;
}

/// Whether the request depends on the configuration version that its id names.
[[nodiscard]] constexpr bool depends_on_version(call_kind kind) noexcept
{
    return kind == call_kind::probe || asks_for_removed(kind);
}

[[nodiscard]] constexpr bool has_long_work(call_kind kind) noexcept
{
    return kind == call_kind::long_body || kind == call_kind::long_stream;
}

[[nodiscard]] constexpr bool is_stream(call_kind kind) noexcept
{
    return kind == call_kind::plain_stream || kind == call_kind::resumable_stream ||
           kind == call_kind::long_stream;
}

[[nodiscard]] constexpr bool may_repeat(call_kind kind) noexcept
{
    return kind == call_kind::idempotent || kind == call_kind::resumable_stream ||
           depends_on_version(kind);
}

/// A request as observed by its caller.
struct call_record
{
    std::string request; ///< Id.
    call_kind kind{call_kind::single_run};
    std::size_t router{0};
    std::uint32_t process_number{0}; ///< Counts the starts of the router, from 1.
    time_point written_at{};
    /// The whole request was written, within the time that routers allow for its header.
    bool sent_in_time{false};
    time_point ended_at{};
    unsigned status{0};   ///< HTTP status; 0: no response header was received.
    bool complete{false}; ///< The response was complete by its framing.
    bool has_signature{false};
    bool body_matches{false}; ///< The body is the complete one of this request.
    bool abandoned{false};    ///< The call exceeded the caller's timeout.
    std::uint64_t version{0}; ///< Of requests that depend on a configuration version.
    time_point sending_at{};  ///< Just before the last bytes were written.
    milliseconds deadline{request_deadline};

    auto operator<=>(const call_record&) const = default;
};

/// One execution of a request by an endpoint.
struct execution_record
{
    std::string request; ///< Id.
    std::string endpoint;
    std::string domain;
    time_point at{};
    /// Target, body and account match the caller's, and its key was not forwarded.
    bool as_sent{true};
    std::size_t endpoint_number{0};
    time_point ended_at{time_point::max()}; ///< End of the work; `max` while it lasts.
    std::string service{};
    std::string version{}; ///< Of the endpoint.
    bool failed{false};    ///< The endpoint answered with a failure, as its version is bad.

    auto operator<=>(const execution_record&) const = default;
};

/// Load of an endpoint at the arrival of a request.
struct arrival
{
    std::string endpoint;
    time_point at{};
    double load{0}; ///< Active requests without this one.
    double mean{0}; ///< Mean over the endpoints of the service that accept new requests.
    bool cold{false};

    auto operator<=>(const arrival&) const = default;
};

enum class change_kind : std::uint8_t
{
    configuration,       ///< `version` is written to the store.
    drain,               ///< An endpoint announces its drain.
    domain_out,          ///< A failure domain is evacuated.
    domain_back,         ///< The domain is restored.
    store_returned,      ///< The store came back from an older copy.
    configuration_again, ///< `version` is written again after such a return.
};

/// A change made in the store.
struct operator_change
{
    change_kind kind{change_kind::configuration};
    std::string name; ///< Endpoint or failure domain.
    std::uint64_t version{0};
    time_point at{};

    auto operator<=>(const operator_change&) const = default;
};

/// A signal that ends the process of a router: SIGKILL or SIGTERM.
struct process_end
{
    std::size_t router{0};
    std::uint32_t process_number{0};
    time_point at{};
    bool planned{false}; ///< SIGTERM.

    auto operator<=>(const process_end&) const = default;
};

/// A time in which uncontrolled callers sent to a router.
struct uncontrolled_period
{
    std::size_t router{0};
    time_point from{};
    time_point until{};
    std::size_t peak_memory_kb{0}; ///< Of the process at the end; 0 if there is none.

    auto operator<=>(const uncontrolled_period&) const = default;
};

/// A rollout that an operator has ordered.
struct rollout_order
{
    std::string service;
    std::string from;
    std::string to;
    time_point at{}; ///< The store has acknowledged the order.
    milliseconds duration{0};
    bool bad{false}; ///< A part of the responses of the new version are failures.

    auto operator<=>(const rollout_order&) const = default;
};

/// Final states of a rollout in its status row.
inline constexpr const char* rollout_done = "done";
inline constexpr const char* rollout_rolled_back = "rolled_back";

/// A state that the store's status row of a rollout has taken; empty: there is no row for it.
struct status_change
{
    std::string version;
    std::string state;
    time_point at{};

    auto operator<=>(const status_change&) const = default;
};

struct run_observations
{
    std::vector<call_record> calls; ///< Ordered by end.
    std::vector<execution_record> executions;
    std::vector<arrival> arrivals;
    std::vector<operator_change> changes;
    outage_log outages;
    std::vector<process_end> process_ends;
    std::vector<uncontrolled_period> uncontrolled;
    std::vector<rollout_order> rollouts;
    std::vector<status_change> status_changes;
};

} // namespace mangovane::soak

#endif

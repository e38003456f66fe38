// Dependencies of the HTTP front end for routes.
#ifndef MANGOVANE_NET_FORWARD_SERVICES_HPP
#define MANGOVANE_NET_FORWARD_SERVICES_HPP

#include <memory>

#include "mangovane/forward/forward_core.hpp"
#include "mangovane/net/admission_waits.hpp"
#include "mangovane/net/byte_budget.hpp"
#include "mangovane/net/caller_resources.hpp"
#include "mangovane/net/crash_check.hpp"
#include "mangovane/net/endpoint_connections.hpp"
#include "mangovane/net/http_dialect.hpp"
#include "mangovane/net/liveness_connection.hpp"
#include "mangovane/observe/event_log.hpp"
#include "mangovane/observe/request_record.hpp"
#include "mangovane/shutdown/stop_state.hpp"

namespace mangovane
{

/// Timeouts of the front end that are not part of the settings.
struct forward_timeouts
{
    /// To an endpoint; below 1 s, after which TCP retransmits a lost SYN, so that another endpoint
    /// is tried first.
    milliseconds connect_timeout{250};
    crash_check_timing crash_check;
    /// Time for which a write to a caller may continue after the deadline of its request.
    milliseconds final_write_timeout{400};
    /// A write to a caller that accepts no byte for this long has failed.
    milliseconds caller_stall_timeout{5000};
    /// Time in which a caller may close its side after the instance has closed its own.
    milliseconds close_timeout{500};

    auto operator<=>(const forward_timeouts&) const = default;
};

/// Limit on response bodies that all sessions hold until they are complete. Instances have 112 MB
/// or more; larger bodies are passed on as they arrive.
inline constexpr std::size_t max_held_response_bytes = std::size_t{16} * 1024 * 1024;

/// All references outlive the server.
struct forward_services
{
    forward_core& core;
    const http_dialect& dialect;
    event_log& log;
    request_observer& observer;
    forward_timeouts timeouts;
    byte_budget held_responses{max_held_response_bytes};
    std::shared_ptr<caller_resources> callers{std::make_shared<caller_resources>()};
    stop_state stop; ///< While the instance stops, responses close the connection.
    /// Shared with the calls, some of which are destroyed only with their executor.
    std::shared_ptr<endpoint_connections> connections{std::make_shared<endpoint_connections>()};
    std::shared_ptr<liveness_connections> liveness{
        std::make_shared<liveness_connections>(connections)};
    std::shared_ptr<admission_waits> waits; ///< Null: no request waits for admission.
};

} // namespace mangovane

#endif

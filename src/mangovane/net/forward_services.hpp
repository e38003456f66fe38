// Dependencies of the HTTP front end for routes.
#ifndef MANGOVANE_NET_FORWARD_SERVICES_HPP
#define MANGOVANE_NET_FORWARD_SERVICES_HPP

#include <atomic>

#include "mangovane/forward/forward_core.hpp"
#include "mangovane/net/http_dialect.hpp"
#include "mangovane/observe/event_log.hpp"
#include "mangovane/observe/request_record.hpp"

namespace mangovane
{

/// Timeouts of the front end that are not part of the settings.
struct forward_timeouts
{
    /// To an endpoint; below 1 s, after which TCP retransmits a lost SYN, so that another endpoint
    /// is tried first.
    milliseconds connect_timeout{250};
    milliseconds final_write_timeout{1000}; ///< For the end of a response after the deadline.

    auto operator<=>(const forward_timeouts&) const = default;
};

/// All references outlive the server.
struct forward_services
{
    forward_core& core;
    const http_dialect& dialect;
    event_log& log;
    request_observer& observer;
    const std::atomic<bool>& leaving; ///< Shutting down: responses close the connection.
    forward_timeouts timeouts;
};

} // namespace mangovane

#endif

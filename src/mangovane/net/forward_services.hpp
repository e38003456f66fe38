// What the front end of routes needs from the process it runs in.
#ifndef MANGOVANE_NET_FORWARD_SERVICES_HPP
#define MANGOVANE_NET_FORWARD_SERVICES_HPP

#include <atomic>

#include "mangovane/forward/forward_core.hpp"
#include "mangovane/net/front_dialect.hpp"
#include "mangovane/observe/event_log.hpp"
#include "mangovane/observe/request_record.hpp"

namespace mangovane
{

/// Times of the front end that no settings tree holds.
struct forward_times
{
    milliseconds connect_timeout{250}; ///< To an endpoint; a lost packet would cost a second.
    milliseconds write_grace{1000};    ///< For the last bytes to a caller after the deadline.

    auto operator<=>(const forward_times&) const = default;
};

/// All references outlive the server.
struct forward_services
{
    forward_core& core;
    const front_dialect& dialect;
    event_log& log;
    request_observer& observer;
    const std::atomic<bool>& leaving; ///< Answers ask callers to connect elsewhere.
    forward_times times;
};

} // namespace mangovane

#endif

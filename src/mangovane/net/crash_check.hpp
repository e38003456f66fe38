// Tells whether an endpoint that closed a connection has crashed.
#ifndef MANGOVANE_NET_CRASH_CHECK_HPP
#define MANGOVANE_NET_CRASH_CHECK_HPP

#include <string>

#include <boost/asio/awaitable.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/endpoint_connections.hpp"

namespace mangovane
{

/// Whether connections to `ip:port` are refused: the host responds, but no process listens there
/// any more. False if a connection is accepted, or if nothing responds within the timeout, as in a
/// network partition. Connects after `delay`.
boost::asio::awaitable<bool>
refuses_connections(const std::string& address, milliseconds delay, milliseconds timeout);

struct crash_check_timing
{
    /// From the end of a connection until its endpoint is asked whether it still listens. The
    /// kernel closes the listener of a killed process up to some milliseconds after its
    /// connections.
    milliseconds delay{20};
    /// To connect to the endpoint.
    milliseconds timeout{100};
    /// Until other connections to an endpoint that refuses count as proof of its process. An end
    /// that was lost on the way has been sent again by then: TCP repeats it after 200 ms.
    milliseconds proof_delay{250};
    /// Between samples of connections on which the endpoint has just sent something.
    milliseconds sample_interval{20};

    auto operator<=>(const crash_check_timing&) const = default;
};

/// Whether the process at `ip:port`, which has just ended a connection, has ended: it refuses new
/// connections, and none of the other connections to it remains. An endpoint that is leaving may
/// close its listener and finish what it has accepted. Other connections are not waited for past
/// `give_up_at`; an endpoint that refuses then counts as ended.
boost::asio::awaitable<bool> process_has_ended(endpoint_connections& connections,
                                               const std::string& address,
                                               const crash_check_timing& timing,
                                               time_point give_up_at);

} // namespace mangovane

#endif

// Finds out whether an endpoint that closed a connection still listens.
#ifndef MANGOVANE_NET_CRASH_CHECK_HPP
#define MANGOVANE_NET_CRASH_CHECK_HPP

#include <string>

#include <boost/asio/awaitable.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/end_verdict.hpp"

namespace mangovane
{

/// Connects to `ip:port` after `delay`.
boost::asio::awaitable<connect_outcome>
try_connect(const std::string& address, milliseconds delay, milliseconds timeout);

/// Suspends the calling coroutine.
boost::asio::awaitable<void> sleep_for(milliseconds time);

struct crash_check_timing
{
    /// From the end of a connection until its endpoint is asked whether it still listens. The
    /// kernel closes the listener of a killed process up to some milliseconds after its
    /// connections.
    milliseconds delay{20};
    /// To connect to the endpoint.
    milliseconds timeout{100};
    /// Until other connections to an endpoint that refuses count as proof of its process.
    milliseconds proof_delay{end_arrival_time};
    /// Between samples of connections on which the endpoint has just sent something.
    milliseconds sample_interval{20};

    auto operator<=>(const crash_check_timing&) const = default;
};

} // namespace mangovane

#endif

// Tells whether an endpoint that closed a connection has crashed.
#ifndef MANGOVANE_NET_CRASH_CHECK_HPP
#define MANGOVANE_NET_CRASH_CHECK_HPP

#include <string>

#include <boost/asio/awaitable.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Whether connections to `ip:port` are refused: the host responds, but no process listens there
/// any more. False if a connection is accepted, or if nothing responds within the timeout, as in a
/// network partition. Connects after `delay`.
boost::asio::awaitable<bool>
refuses_connections(const std::string& address, milliseconds delay, milliseconds timeout);

} // namespace mangovane

#endif

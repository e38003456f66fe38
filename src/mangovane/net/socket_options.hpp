// Detection of connections whose peer has lost power or is unreachable.
#ifndef MANGOVANE_NET_SOCKET_OPTIONS_HPP
#define MANGOVANE_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Makes a connection fail after `timeout` without acknowledgement of sent bytes; idle connections
/// are probed every second. Also disables Nagle's algorithm. Errors are ignored: on a system
/// without these options, dead peers are only detected later.
void enable_dead_peer_detection(boost::asio::ip::tcp::socket& socket, milliseconds timeout);

} // namespace mangovane

#endif

// Options that make a silent connection end: one whose other side has lost power or is cut off.
#ifndef MANGOVANE_NET_SOCKET_OPTIONS_HPP
#define MANGOVANE_NET_SOCKET_OPTIONS_HPP

#include <boost/asio/ip/tcp.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Unacknowledged bytes end the connection after `silence`, and an idle connection is probed each
/// second. Logs nothing: a system without the options serves as before, only slower to notice.
void enable_dead_peer_detection(boost::asio::ip::tcp::socket& socket, milliseconds silence);

} // namespace mangovane

#endif

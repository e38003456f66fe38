// HTTP server for requests of callers to configured routes.
#ifndef MANGOVANE_NET_FORWARD_SERVER_HPP
#define MANGOVANE_NET_FORWARD_SERVER_HPP

#include "mangovane/net/forward_session.hpp"
#include "mangovane/net/session_server.hpp"

namespace mangovane
{

using forward_server = session_server<forward_session, forward_services>;

} // namespace mangovane

#endif

// HTTP server of the native API for callers: chat completions and plain services.
#ifndef MANGOVANE_NET_HTTP_SERVER_HPP
#define MANGOVANE_NET_HTTP_SERVER_HPP

#include "mangovane/net/caller_session.hpp"
#include "mangovane/net/session_server.hpp"

namespace mangovane
{

using http_server = session_server<caller_session, frontend_services>;

} // namespace mangovane

#endif

// HTTP server of the native API for callers: chat completions and plain services. Its requests are
// routed by `coordinator`; `forward_server` serves requests to configured routes.
#ifndef MANGOVANE_NET_NATIVE_SERVER_HPP
#define MANGOVANE_NET_NATIVE_SERVER_HPP

#include "mangovane/net/caller_session.hpp"
#include "mangovane/net/session_server.hpp"

namespace mangovane
{

using native_server = session_server<caller_session, frontend_services>;

} // namespace mangovane

#endif

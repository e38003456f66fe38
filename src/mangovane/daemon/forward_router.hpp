// Daemon of an entry instance that forwards requests by routes: wiring, timers and shutdown.
#ifndef MANGOVANE_DAEMON_FORWARD_ROUTER_HPP
#define MANGOVANE_DAEMON_FORWARD_ROUTER_HPP

#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "mangovane/daemon/discovery_sink.hpp"
#include "mangovane/daemon/forward_router_options.hpp"

namespace mangovane
{

class http_dialect;

/// Platform-specific parts of the daemon. The dialect must outlive the router.
struct forward_adapter
{
    const http_dialect& dialect;
    settings_parser parser; ///< For settings received from other instances.
    std::function<std::unique_ptr<discovery_source>(
        boost::asio::io_context&, discovery_sink&, const forward_router_options&)>
        make_source; ///< Creates the source that reads from the platform.
};

/// Process of the daemon.
class forward_router
{
public:
    forward_router(forward_router_options options, forward_adapter adapter);
    ~forward_router();

    /// Serves until SIGTERM or SIGINT, then until all sessions have ended or the grace period is
    /// over. Error: a listening socket could not be opened.
    [[nodiscard]] absl::Status run();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace mangovane

#endif

// The daemon of an entry instance that forwards requests by routes: wiring, timers and shutdown.
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

/// What an adapter to a platform brings. The dialect outlives the router.
struct forward_adapter
{
    const http_dialect& dialect;
    settings_parser parser; ///< Of settings that come from other instances.
    std::function<std::unique_ptr<discovery_source>(
        boost::asio::io_context&, discovery_sink&, const forward_router_options&)>
        make_source;
};

class forward_router
{
public:
    forward_router(forward_router_options options, forward_adapter adapter);
    ~forward_router();

    /// Runs until the process is asked to stop and its last request has ended.
    [[nodiscard]] absl::Status run();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace mangovane

#endif

// Daemon of an entry instance: connects the coordinator to the network and runs until it is
// stopped.
#ifndef MANGOVANE_DAEMON_ROUTER_HPP
#define MANGOVANE_DAEMON_ROUTER_HPP

#include <memory>

#include <absl/status/status.h>

#include "mangovane/daemon/router_options.hpp"

namespace mangovane
{

/// Process of the daemon.
class router
{
public:
    explicit router(router_options options);
    ~router();

    /// Serves until SIGTERM or SIGINT, then waits for running requests. OK after a graceful
    /// shutdown; error: the static settings are invalid, or a listening socket could not be opened.
    [[nodiscard]] absl::Status run();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace mangovane

#endif

// The process of an entry instance: wires the coordinator to the network and runs until it is told
// to stop.
#ifndef MANGOVANE_DAEMON_ROUTER_HPP
#define MANGOVANE_DAEMON_ROUTER_HPP

#include <memory>

#include <absl/status/status.h>

#include "mangovane/daemon/router_options.hpp"

namespace mangovane
{

class router
{
public:
    explicit router(router_options options);
    ~router();

    /// Serves until SIGTERM or SIGINT, then lets running requests end. OK after a graceful
    /// shutdown.
    [[nodiscard]] absl::Status run();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace mangovane

#endif

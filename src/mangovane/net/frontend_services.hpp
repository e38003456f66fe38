// Dependencies of the HTTP front end for the native API.
#ifndef MANGOVANE_NET_FRONTEND_SERVICES_HPP
#define MANGOVANE_NET_FRONTEND_SERVICES_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "mangovane/idempotency/claim_writer.hpp"
#include "mangovane/net/caller_resources.hpp"
#include "mangovane/net/crash_check.hpp"
#include "mangovane/net/liveness_connection.hpp"
#include "mangovane/observe/request_record.hpp"
#include "mangovane/routing/coordinator.hpp"
#include "mangovane/settings/policy.hpp"
#include "mangovane/shutdown/stop_state.hpp"

namespace mangovane
{

/// Stores claims on idempotency keys. Handlers may be called from any thread.
class claim_store
{
public:
    virtual ~claim_store() = default;
    /// Claims a key for an attempt; the handler receives the result or the error of the store.
    virtual void
    claim_key(claim wanted, time_point deadline, claim_writer::claim_handler handler) = 0;
    /// Stores the outcome of a claimed key.
    virtual void
    settle(claim settled, time_point deadline, claim_writer::settle_handler handler) = 0;
};

/// Limits and timeouts of the front end.
struct frontend_limits
{
    http_limits callers;
    milliseconds write_timeout{60000};  ///< For each write to a caller.
    milliseconds connect_timeout{1000}; ///< To an endpoint.
    crash_check_timing crash_check;
    /// How long what a caller still sends is read when its connection is closed.
    milliseconds close_timeout{500};

    auto operator<=>(const frontend_limits&) const = default;
};

/// All references outlive the server.
struct frontend_services
{
    coordinator& core;
    claim_store& claims;
    request_observer& observer;
    const std::atomic<bool>& ready;
    std::function<std::string()> metrics_text; ///< Prometheus text without account labels.
    frontend_limits limits;
    std::shared_ptr<caller_resources> callers{std::make_shared<caller_resources>()};
    stop_state stop; ///< While the instance stops, responses close the connection.
    /// Shared with the attempts, some of which are destroyed only with their executor.
    std::shared_ptr<endpoint_connections> connections{std::make_shared<endpoint_connections>()};
    std::shared_ptr<liveness_connections> liveness{
        std::make_shared<liveness_connections>(connections)};
};

} // namespace mangovane

#endif

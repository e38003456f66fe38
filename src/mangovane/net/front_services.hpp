// What the HTTP front end needs from the process it runs in.
#ifndef MANGOVANE_NET_FRONT_SERVICES_HPP
#define MANGOVANE_NET_FRONT_SERVICES_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "mangovane/idempotency/claim_batch.hpp"
#include "mangovane/observe/request_record.hpp"
#include "mangovane/routing/coordinator.hpp"
#include "mangovane/settings/policy.hpp"

namespace mangovane
{

/// Where claims are made. Handlers may be called from any thread.
class claim_port
{
public:
    virtual ~claim_port() = default;
    virtual void
    claim_key(claim wanted, time_point deadline, claim_batch::claim_handler handler) = 0;
    virtual void
    settle(claim settled, time_point deadline, claim_batch::settle_handler handler) = 0;
};

/// Limits of the front end.
struct front_limits
{
    http_limits callers;
    milliseconds write_timeout{60000};  ///< For an answer, or a part of it, to a caller.
    milliseconds connect_timeout{1000}; ///< To an endpoint.

    auto operator<=>(const front_limits&) const = default;
};

/// All references outlive the server.
struct front_services
{
    coordinator& core;
    claim_port& claims;
    request_observer& observer;
    const std::atomic<bool>& ready;
    std::function<std::string()> metrics_text; ///< Prometheus text without account labels.
    front_limits limits;
};

} // namespace mangovane

#endif

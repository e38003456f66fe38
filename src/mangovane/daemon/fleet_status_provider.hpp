// Status of an instance for operators: members, endpoints, and its counters.
#ifndef MANGOVANE_DAEMON_FLEET_STATUS_PROVIDER_HPP
#define MANGOVANE_DAEMON_FLEET_STATUS_PROVIDER_HPP

#include <string>

#include "mangovane/net/operator_status.hpp"
#include "mangovane/routing/coordinator.hpp"

namespace mangovane
{

/// Reads the status from a coordinator. Thread-safe.
class fleet_status_provider final : public status_source
{
public:
    /// The coordinator must outlive the provider.
    explicit fleet_status_provider(coordinator& core) : core_{core} {}

    /// Members and endpoints. Load, allowed slots and ramp are set only for owned endpoints.
    [[nodiscard]] fleet_status status() const override;

    /// Prometheus text of the coordinator's counters.
    [[nodiscard]] std::string metrics_text() const;

private:
    coordinator& core_;
};

} // namespace mangovane

#endif

// What an instance shows to operators: members, endpoints, and its own counters.
#ifndef MANGOVANE_DAEMON_FLEET_STATUS_PROVIDER_HPP
#define MANGOVANE_DAEMON_FLEET_STATUS_PROVIDER_HPP

#include <string>

#include "mangovane/net/operator_status.hpp"
#include "mangovane/routing/coordinator.hpp"

namespace mangovane
{

class fleet_status_provider final : public status_source
{
public:
    /// The coordinator outlives it.
    explicit fleet_status_provider(coordinator& core) : core_{core} {}

    /// Load, allowed slots and ramp are known for endpoints that this instance owns.
    [[nodiscard]] fleet_status status() const override;

    /// Prometheus text of the coordinator's counters.
    [[nodiscard]] std::string metrics_text() const;

private:
    coordinator& core_;
};

} // namespace mangovane

#endif

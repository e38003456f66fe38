// Status of the fleet as known to one instance, for the operator API.
#ifndef MANGOVANE_NET_OPERATOR_STATUS_HPP
#define MANGOVANE_NET_OPERATOR_STATUS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace mangovane
{

/// One instance in the membership view.
struct instance_status
{
    std::string name;
    std::string domain;
    std::string state; ///< alive or suspect; left: only this instance, during its shutdown.
    std::uint64_t settings_version{0}; ///< Version in force on the instance.

    auto operator<=>(const instance_status&) const = default;
};

/// One endpoint and its slots.
struct endpoint_status
{
    std::string name;
    std::string service;
    std::string domain;
    /// ready, leaving, drained (it or its domain is taken out, or it accepts no requests for
    /// another reason), cold or unreachable (polls or requests fail). The last two only for
    /// endpoints that this instance owns.
    std::string state;
    std::uint32_t load{0};    ///< Requests in flight.
    std::uint32_t allowed{0}; ///< Slots under the load bound.
    std::uint32_t ramp{0};    ///< Slots under the warm-up ramp; 0: the ramp has ended.
    std::string owner;        ///< Name of the instance that owns the endpoint's ledger.

    auto operator<=>(const endpoint_status&) const = default;
};

/// Instances and endpoints of the fleet.
struct fleet_status
{
    std::vector<instance_status> instances;
    std::vector<endpoint_status> endpoints;

    auto operator<=>(const fleet_status&) const = default;
};

/// Provides the status. Called from any thread.
class status_source
{
public:
    virtual ~status_source() = default;
    [[nodiscard]] virtual fleet_status status() const = 0;
};

} // namespace mangovane

#endif

// What the operators' interface shows of the fleet as one instance sees it.
#ifndef MANGOVANE_NET_OPERATOR_STATUS_HPP
#define MANGOVANE_NET_OPERATOR_STATUS_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace mangovane
{

struct instance_status
{
    std::string name;
    std::string domain;
    std::string state; ///< alive, suspect, dead or left.
    std::uint64_t settings_version{0};

    auto operator<=>(const instance_status&) const = default;
};

struct endpoint_status
{
    std::string name;
    std::string service;
    std::string domain;
    std::string state;        ///< ready, cold, leaving, drained, out or unreachable.
    std::uint32_t load{0};    ///< Requests in flight.
    std::uint32_t allowed{0}; ///< Slots under the load bound.
    std::uint32_t ramp{0};    ///< Slots under the ramp; 0: the ramp has ended.
    std::string owner;        ///< Name of the instance that owns its ledger.

    auto operator<=>(const endpoint_status&) const = default;
};

struct fleet_status
{
    std::vector<instance_status> instances;
    std::vector<endpoint_status> endpoints;

    auto operator<=>(const fleet_status&) const = default;
};

/// Implemented by the daemon, or by a test. May be called from any thread.
class status_source
{
public:
    virtual ~status_source() = default;
    [[nodiscard]] virtual fleet_status status() const = 0;
};

} // namespace mangovane

#endif

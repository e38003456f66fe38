// Where a request can be sent: what a flow asks of the instance.
#ifndef MANGOVANE_FORWARD_ENDPOINT_CHOOSER_HPP
#define MANGOVANE_FORWARD_ENDPOINT_CHOOSER_HPP

#include <optional>
#include <span>
#include <string>

#include "mangovane/forward/endpoint_record.hpp"
#include "mangovane/forward/forward_request.hpp"

namespace mangovane
{

/// The endpoint chosen for an attempt, with what the choice was based on.
struct dispatch_target
{
    endpoint_id endpoint;
    std::string name;          ///< Of the endpoint; it refuses requests meant for another.
    std::string address;       ///< `ip:port`
    std::string prefix_source; ///< `ip:port` of an endpoint that holds the prefix; empty: none.
    std::uint32_t load{0};     ///< At the endpoint when it was chosen, over all instances.
    std::uint32_t allowed{0};  ///< Bound on that load.
    std::uint32_t options{0};  ///< Endpoints that could have been chosen.
    std::uint64_t settings_version{0};

    bool operator==(const dispatch_target&) const = default;
};

class endpoint_chooser
{
public:
    virtual ~endpoint_chooser() = default;

    /// Chooses an endpoint and counts the attempt there as started; nothing when none takes it.
    [[nodiscard]] virtual std::optional<dispatch_target> choose(
        const forward_request& request, std::span<const endpoint_id> excluded, time_point now) = 0;

    /// Ends an attempt that `choose` started.
    virtual void finish(endpoint_id endpoint, health_outcome end, time_point now) = 0;

    /// Takes a retry of the budget of the request's service.
    [[nodiscard]] virtual bool try_retry(service_id service, time_point now) = 0;
};

} // namespace mangovane

#endif

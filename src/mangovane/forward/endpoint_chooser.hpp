// Interface through which a request flow obtains endpoints and retries from its instance.
#ifndef MANGOVANE_FORWARD_ENDPOINT_CHOOSER_HPP
#define MANGOVANE_FORWARD_ENDPOINT_CHOOSER_HPP

#include <optional>
#include <span>
#include <string>

#include "mangovane/forward/endpoint_record.hpp"
#include "mangovane/forward/forward_request.hpp"

namespace mangovane
{

/// The endpoint chosen for an attempt, with the figures the choice was based on.
struct dispatch_target
{
    endpoint_id endpoint;
    std::string name;    ///< Name of the endpoint; it rejects requests addressed to another name.
    std::string address; ///< `ip:port`
    std::string prefix_source; ///< `ip:port` of an endpoint that should hold the prefix in its
                               ///< cache; empty: none.
    /// Requests in flight at the endpoint when it was chosen, over all instances.
    std::uint32_t load{0};
    std::uint32_t load_limit{0};         ///< Load bound in force for the choice.
    std::uint32_t eligible_endpoints{0}; ///< Number of endpoints that were eligible.
    std::uint64_t settings_version{0};   ///< Version of the settings used for the choice.

    bool operator==(const dispatch_target&) const = default;
};

class endpoint_chooser
{
public:
    virtual ~endpoint_chooser() = default;

    /// Chooses an endpoint and counts the attempt as started there; nothing when no endpoint
    /// accepts the request. Endpoints in `excluded` are not chosen.
    [[nodiscard]] virtual std::optional<dispatch_target> choose(
        const forward_request& request, std::span<const endpoint_id> excluded, time_point now) = 0;

    /// Records the end of an attempt that `choose` started.
    virtual void finish(endpoint_id endpoint, health_outcome outcome, time_point now) = 0;

    /// Takes one retry from the budget of the service; false when the budget is exhausted.
    [[nodiscard]] virtual bool try_retry(service_id service, time_point now) = 0;
};

} // namespace mangovane

#endif

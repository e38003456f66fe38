// Ledgers of the endpoints that an instance owns, and the load of their services.
#ifndef MANGOVANE_ROUTING_SLOT_SERVICE_HPP
#define MANGOVANE_ROUTING_SLOT_SERVICE_HPP

#include <cstdint>
#include <vector>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/ledger/endpoint_health.hpp"
#include "mangovane/ledger/endpoint_ledger.hpp"
#include "mangovane/routing/instance_state.hpp"
#include "mangovane/routing/load_summary.hpp"

namespace mangovane
{

/// Status of one owned endpoint.
struct owned_endpoint_status
{
    endpoint_id endpoint;
    service_id service;
    ledger_status ledger;
    std::optional<slot_refusal_reason> closed;

    auto operator<=>(const owned_endpoint_status&) const = default;
};

class slot_service
{
public:
    /// The state must outlive the service.
    explicit slot_service(instance_state& state);

    [[nodiscard]] outgoing_messages on(instance_id from, const slot_request& msg, time_point now);
    [[nodiscard]] outgoing_messages on(instance_id from, const slot_release& msg, time_point now);
    [[nodiscard]] outgoing_messages on(instance_id from, const slot_renewal& msg, time_point now);
    [[nodiscard]] outgoing_messages on(instance_id from, const load_query& msg, time_point now);
    [[nodiscard]] outgoing_messages
    on(instance_id from, const service_load_report& msg, time_point now);
    [[nodiscard]] outgoing_messages on(instance_id from, const load_total& msg, time_point now);

    /// Handles a report of an owned endpoint about itself.
    [[nodiscard]] outgoing_messages on_report(const endpoint_report& report, time_point now);

    /// Handles a poll that an owned endpoint answered without a load report, or did not answer.
    void on_poll(endpoint_id endpoint, bool answered);

    /// Takes over and gives up endpoints after a change of the view or the endpoint list.
    [[nodiscard]] outgoing_messages update_ownership(time_point now);

    /// Runs the timers of the ledgers, and sends load reports that are due.
    [[nodiscard]] outgoing_messages tick(time_point now);

    /// Gives up all endpoints, because this instance leaves.
    [[nodiscard]] outgoing_messages give_up_all();

    /// Endpoints owned by this instance.
    [[nodiscard]] std::vector<endpoint_id> owned();
    [[nodiscard]] std::vector<owned_endpoint_status> status(time_point now);

    /// Load of a service as estimated by this instance.
    [[nodiscard]] service_load load_of(service_id service, time_point now);

private:
    struct owned_endpoint
    {
        endpoint_ledger ledger;
        service_id service;
        time_point owned_since;
        bool polled{false}; ///< A poll has ended since this instance became the owner.
        std::uint32_t counted_in_flight{
            0}; ///< Requests in flight, as counted in the own load at the last tick.
        bool reports_leaving{false};
        endpoint_health health;
    };

    struct service_state
    {
        service_load_estimate estimate;
        service_load own;       ///< Sum over owned endpoints at the last tick.
        std::uint32_t owned{0}; ///< Owned endpoints at the last tick.
    };

    /// Sum over the owned endpoints of one service.
    struct owned_load
    {
        service_load load;
        std::uint32_t endpoints{0};
    };

    /// Calls `action(entry, ctx)` for an owned endpoint; false if it is not owned or its service
    /// has no settings.
    template <class Action>
    bool with_owned(endpoint_id endpoint, time_point now, Action&& action);

    void sum_own_loads(time_point now);
    [[nodiscard]] outgoing_messages report_loads(time_point now);
    [[nodiscard]] std::optional<slot_refusal_reason> closed(const owned_endpoint& entry,
                                                            const routing_table& routes,
                                                            endpoint_id endpoint,
                                                            time_point now) const;

    instance_state& state_;
    sharded_map<endpoint_id, owned_endpoint, 64> ledgers_;
    sharded_map<service_id, service_state> services_;
    sharded_map<service_id, load_summary> summaries_;
};

} // namespace mangovane

#endif

// Rate and concurrency limits of an instance: the leases that it holds, and the ledgers of the
// settings nodes that it owns.
#ifndef MANGOVANE_ROUTING_LIMIT_SERVICE_HPP
#define MANGOVANE_ROUTING_LIMIT_SERVICE_HPP

#include <vector>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/limits/limit_ledger.hpp"
#include "mangovane/routing/instance_state.hpp"
#include "mangovane/routing/slot_service.hpp"

namespace mangovane
{

class limit_service
{
public:
    /// The state must outlive the service.
    explicit limit_service(instance_state& state);

    /// Acquires all rules of a request or none; a rule without limits is skipped.
    [[nodiscard]] bool try_acquire(const std::vector<limit_rule>& rules, time_point now);

    /// Releases the rules of a request that has ended.
    void release(const std::vector<limit_rule>& rules);

    /// Acquires like `try_acquire`, where rules whose owners have not answered use this instance's
    /// own share of the limit.
    [[nodiscard]] bool try_acquire_local_share(const std::vector<limit_rule>& rules,
                                               time_point now);

    /// Lease requests to the owners of the rules whose leases do not suffice.
    [[nodiscard]] outgoing_messages request_leases(const std::vector<limit_rule>& rules,
                                                   time_point now);

    [[nodiscard]] outgoing_messages on(instance_id from, const limit_request& msg, time_point now);
    [[nodiscard]] outgoing_messages on(instance_id from, const limit_grant& msg, time_point now);

    /// Expires leases granted to other instances, and renews the leases in use.
    [[nodiscard]] outgoing_messages tick(time_point now);

private:
    struct lease_entry
    {
        limit_lease lease;
        limit_rule rule;
        time_point requested_at;
        std::uint32_t unanswered_requests{0}; ///< Lease requests since the last answer.
    };

    [[nodiscard]] std::optional<instance_id> owner_of(node_id node) const;
    [[nodiscard]] std::optional<limit_rule> find_rule(node_id node) const;

    instance_state& state_;
    sharded_map<node_id, limit_ledger> ledgers_;
    sharded_map<node_id, lease_entry> leases_;
};

} // namespace mangovane

#endif

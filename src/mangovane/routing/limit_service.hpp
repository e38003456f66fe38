// The part of an instance that enforces rate and concurrency limits: leases it uses, and nodes that
// it owns.
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
    /// The state outlives the service.
    explicit limit_service(instance_state& state);

    /// Acquires all rules of a request or none; a rule without limits is not counted.
    [[nodiscard]] bool try_acquire(const std::vector<limit_rule>& rules, time_point now);

    /// Ends a request that was acquired.
    void release(const std::vector<limit_rule>& rules);

    /// Acquires from this instance's own share of the rules, because their owners do not answer.
    [[nodiscard]] bool try_acquire_local_share(const std::vector<limit_rule>& rules,
                                               time_point now);

    /// Questions to the owners of rules whose leases do not suffice.
    [[nodiscard]] outgoing_messages ask(const std::vector<limit_rule>& rules, time_point now);

    [[nodiscard]] outgoing_messages on(instance_id from, const limit_request& msg, time_point now);
    [[nodiscard]] outgoing_messages on(instance_id from, const limit_grant& msg, time_point now);

    /// Forgets leases of instances that have gone, and renews leases in use.
    [[nodiscard]] outgoing_messages tick(time_point now);

private:
    struct lease_entry
    {
        limit_lease lease;
        limit_rule rule;
        time_point asked_at;
        std::uint32_t unanswered{0}; ///< Questions since the last answer.
    };

    [[nodiscard]] std::optional<instance_id> owner_of(node_id node) const;
    [[nodiscard]] std::optional<limit_rule> find_rule(node_id node) const;

    instance_state& state_;
    sharded_map<node_id, limit_ledger> ledgers_;
    sharded_map<node_id, lease_entry> leases_;
};

} // namespace mangovane

#endif

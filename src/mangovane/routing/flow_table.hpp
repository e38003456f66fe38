// The running requests of an instance, and the slots that they hold.
#ifndef MANGOVANE_ROUTING_FLOW_TABLE_HPP
#define MANGOVANE_ROUTING_FLOW_TABLE_HPP

#include <memory>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/routing/request_callbacks.hpp"
#include "mangovane/routing/request_flow.hpp"

namespace mangovane
{

/// Result of one step of a flow.
struct flow_step
{
    flow_actions actions;
    std::shared_ptr<request_callbacks> callbacks; ///< Null if the request is not running.
    bool ended{false};                            ///< The flow has ended with this step.
    std::vector<limit_rule> limits; ///< Limits held by the request; set if the flow has ended.
};

/// Thread-safe; the key is the request number.
class flow_table
{
public:
    void
    insert(std::uint64_t number, request_flow flow, std::shared_ptr<request_callbacks> callbacks);

    /// Handles an event under the lock of the request's shard.
    [[nodiscard]] flow_step
    step(std::uint64_t number, const flow_event& event, const flow_context& ctx);

    /// Stores the limits that a request has acquired; false if it is not running.
    bool set_limits(std::uint64_t number, std::vector<limit_rule> limits);

    /// Account of a running request.
    [[nodiscard]] std::optional<account_id> account_of(std::uint64_t number);

    /// Slots held by all requests, by endpoint, without the slots of this instance's own share.
    [[nodiscard]] absl::flat_hash_map<endpoint_id, std::vector<held_slot>> held_slots();

    [[nodiscard]] std::size_t size() { return flows_.size(); }

private:
    struct entry
    {
        request_flow flow;
        std::shared_ptr<request_callbacks> callbacks;
        std::vector<limit_rule> limits;
    };

    sharded_map<std::uint64_t, entry, 64> flows_;
};

} // namespace mangovane

#endif

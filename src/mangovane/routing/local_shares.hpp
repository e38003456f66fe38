// Slots that this instance uses from its own share of endpoints whose owners it cannot reach.
#ifndef MANGOVANE_ROUTING_LOCAL_SHARES_HPP
#define MANGOVANE_ROUTING_LOCAL_SHARES_HPP

#include <cstdint>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/ledger/bound.hpp"
#include "mangovane/routing/instance_state.hpp"

namespace mangovane
{

class local_shares
{
public:
    /// The state outlives the shares.
    explicit local_shares(instance_state& state) : state_{state} {}

    /// Takes a slot of the share; false when it is used up or the endpoint takes no new work.
    [[nodiscard]] bool try_acquire(endpoint_id endpoint, const service_load& load);

    void release(endpoint_id endpoint);

private:
    instance_state& state_;
    sharded_map<endpoint_id, std::uint32_t> in_use_;
};

} // namespace mangovane

#endif

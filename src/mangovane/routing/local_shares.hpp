// Slots that this instance uses from its own share of endpoints whose owners it cannot reach.
#ifndef MANGOVANE_ROUTING_LOCAL_SHARES_HPP
#define MANGOVANE_ROUTING_LOCAL_SHARES_HPP

#include <cstdint>
#include <vector>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/ledger/bound.hpp"
#include "mangovane/routing/instance_state.hpp"

namespace mangovane
{

/// What a poll by this instance has shown of an endpoint.
enum class endpoint_poll_state : std::uint8_t
{
    available,
    cold,        ///< It bears little: it has just started.
    unavailable, ///< It leaves, or it did not answer.
};

class local_shares
{
public:
    /// The state outlives the shares.
    explicit local_shares(instance_state& state) : state_{state} {}

    /// Takes a slot of the share; false when it is used up or the endpoint takes no new work.
    /// Without an owner only the endpoint itself can tell in time that it leaves: until this
    /// instance has polled it, the answer is false and the endpoint is wanted for a poll.
    [[nodiscard]] bool try_acquire(endpoint_id endpoint, const service_load& load, time_point now);

    /// Result of a poll by this instance.
    void on_poll(endpoint_id endpoint, endpoint_poll_state condition, time_point now);

    /// Endpoints that have to be polled before their share may be used.
    [[nodiscard]] std::vector<endpoint_id> wanted(time_point now);

    void release(endpoint_id endpoint);

private:
    instance_state& state_;
    /// A poll is relied on this long: two poll periods and a slow answer.
    static constexpr milliseconds poll_validity{1500};
    /// An endpoint is polled this long after its share was asked for.
    static constexpr milliseconds wanted_time{5000};

    struct share
    {
        std::uint32_t in_use{0};
        time_point fit_until{}; ///< By the last poll.
        bool cold{false};       ///< By the last poll: only the start of the ramp is shared.
        time_point wanted_until{};
    };

    sharded_map<endpoint_id, share> shares_;
};

} // namespace mangovane

#endif

// Slots of endpoints whose owners cannot be reached: each instance uses its own share of the bound.
#ifndef MANGOVANE_ROUTING_LOCAL_SHARES_HPP
#define MANGOVANE_ROUTING_LOCAL_SHARES_HPP

#include <cstdint>
#include <vector>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/ledger/bound.hpp"
#include "mangovane/routing/instance_state.hpp"

namespace mangovane
{

/// State of an endpoint according to a poll by this instance.
enum class endpoint_poll_state : std::uint8_t
{
    available,
    cold,        ///< Recently started: takes little load.
    unavailable, ///< Leaving, or it did not answer.
};

class local_shares
{
public:
    /// The state must outlive the shares.
    explicit local_shares(instance_state& state) : state_{state} {}

    /// Acquires a slot of the share; false if the share is used up or the endpoint takes no new
    /// work. Without an owner, only a poll shows in time that the endpoint is leaving: until this
    /// instance has polled it, the result is false and the endpoint is listed in `pending_polls`.
    [[nodiscard]] bool try_acquire(endpoint_id endpoint, const service_load& load, time_point now);

    /// Handles the result of a poll by this instance.
    void on_poll(endpoint_id endpoint, endpoint_poll_state poll_state, time_point now);

    /// Endpoints that have to be polled before their share may be used.
    [[nodiscard]] std::vector<endpoint_id> pending_polls(time_point now);

    /// Releases an acquired slot.
    void release(endpoint_id endpoint);

private:
    instance_state& state_;
    /// Validity of a poll: two poll periods and a slow answer.
    static constexpr milliseconds poll_validity{1500};
    /// Time for which an endpoint is polled after its share was last requested.
    static constexpr milliseconds poll_request_validity{5000};

    struct share
    {
        std::uint32_t in_use{0};
        time_point available_until{}; ///< End of the validity of the last poll.
        bool cold{false}; ///< Result of the last poll; of a cold endpoint only `ramp_start` slots
                          ///< are divided.
        time_point poll_until{};
    };

    sharded_map<endpoint_id, share> shares_;
};

} // namespace mangovane

#endif

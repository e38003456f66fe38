// Spreads settings between instances: asks a peer that has a newer version, and answers peers that
// ask.
#ifndef MANGOVANE_ROUTING_SETTINGS_SPREAD_HPP
#define MANGOVANE_ROUTING_SETTINGS_SPREAD_HPP

#include <mutex>

#include "mangovane/routing/instance_state.hpp"
#include "mangovane/routing/slot_service.hpp"

namespace mangovane
{

class settings_spread
{
public:
    /// The state outlives it.
    explicit settings_spread(instance_state& state) : state_{state} {}

    [[nodiscard]] outgoing_messages on(instance_id from, const settings_query& msg) const;

    /// Puts the content in force if it is newer and valid.
    void on(instance_id from, const settings_content& msg);

    /// Asks the holder of the newest version that was heard of, at most once in `query_period`.
    [[nodiscard]] outgoing_messages tick(time_point now);

private:
    static constexpr milliseconds query_period{300};

    instance_state& state_;
    std::mutex mutex_;
    time_point asked_at_{}; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

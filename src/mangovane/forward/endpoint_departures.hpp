// Endpoints that are known to leave: until when each of them goes on serving.
#ifndef MANGOVANE_FORWARD_ENDPOINT_DEPARTURES_HPP
#define MANGOVANE_FORWARD_ENDPOINT_DEPARTURES_HPP

#include <optional>

#include "mangovane/core/id.hpp"
#include "mangovane/core/sharded_map.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/membership/endpoint.hpp"

namespace mangovane
{

/// An endpoint that leaves says so in its entry or its responses, or its entry is removed. It then
/// goes on serving for a stated time before it may exit; an exit sooner is a crash. So is what ends
/// before its entry is removed: the entry of a crashed endpoint goes too, after some silence.
/// Thread-safe; shards by endpoint.
class endpoint_departures
{
public:
    /// `drain_time`: how long an endpoint goes on serving after it has announced that it leaves.
    explicit endpoint_departures(milliseconds drain_time) noexcept : drain_time_{drain_time} {}

    /// The list of endpoints has changed.
    void on_list(const endpoint_directory& before, const endpoint_directory& after, time_point now);

    /// The endpoint, in this incarnation, has stated in a response that it leaves.
    void on_stated(endpoint_id endpoint, incarnation epoch, time_point now);

    /// Until when the endpoint, in this incarnation, goes on serving; empty: it is not known to
    /// leave.
    [[nodiscard]] std::optional<time_point> serves_until(endpoint_id endpoint, incarnation epoch);

    /// Drops what is no longer needed.
    void expire(time_point now);

private:
    /// Longer than a response of an endpoint that leaves takes.
    static constexpr std::chrono::hours retention{1};

    struct departure
    {
        incarnation epoch{0};
        time_point serves_until{};
        time_point keep_until{};
        bool stated{false}; ///< By the endpoint itself: stays, whatever the list says.
    };

    void note(endpoint_id endpoint, incarnation epoch, bool stated, time_point now);
    /// An endpoint whose entry is back has not left.
    void withdraw(const endpoint_info& listed);

    const milliseconds drain_time_;
    sharded_map<endpoint_id, departure> entries_;
};

} // namespace mangovane

#endif

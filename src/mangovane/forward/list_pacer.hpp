// Decides when a reader of the store answers the requests for endpoint lists of other instances.
#ifndef MANGOVANE_FORWARD_LIST_PACER_HPP
#define MANGOVANE_FORWARD_LIST_PACER_HPP

#include <cstddef>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/message/endpoints.hpp"

namespace mangovane
{

using endpoint_list_revision = decltype(endpoint_query::known_revision);

/// Instances that hold the same revision, and so receive the same update.
struct list_recipients
{
    endpoint_list_revision known_revision{};
    std::vector<instance_id> to;

    bool operator==(const list_recipients&) const = default;
};

/// Collects requests and releases them in rounds, so that many instances that start together share
/// one copy of the list and do not receive it all at once. Keeps one request per instance. Not
/// thread-safe.
class list_pacer
{
public:
    /// Instances served in one round.
    static constexpr std::size_t max_recipients = 16;

    /// Different updates sent in one round.
    static constexpr std::size_t max_updates = 4;

    /// With 16 recipients in a round, 100 instances of a domain are served within 400 ms if queries
    /// keep arriving, and within 700 ms by ticks alone. A query that makes no progress for 600 ms
    /// is sent again over a new connection.
    static constexpr milliseconds round_interval{50};

    /// A repeated query is not served again within this time: queries are repeated every 150 ms,
    /// and a long list may still be on its way. Below the 600 ms above.
    static constexpr milliseconds repeat_interval{400};

    /// Adds the request of an instance, in place of its earlier one.
    void request(instance_id from, endpoint_list_revision known_revision, time_point now);

    /// The recipients of the next round, in order of their requests; empty when it is not due.
    [[nodiscard]] std::vector<list_recipients> take_round(time_point now);

private:
    struct pending_request
    {
        instance_id from;
        endpoint_list_revision known_revision{};
    };

    struct served_request
    {
        endpoint_list_revision known_revision{};
        time_point at{};
    };

    std::vector<pending_request> pending_; ///< At most one per instance.
    /// Last request served of each instance within `repeat_interval`.
    absl::flat_hash_map<instance_id, served_request> served_;
    time_point next_round_at_{};
};

} // namespace mangovane

#endif

// The endpoints to which this instance has sent each prompt prefix; they should have it cached.
#ifndef MANGOVANE_FORWARD_PREFIX_LOCATIONS_HPP
#define MANGOVANE_FORWARD_PREFIX_LOCATIONS_HPP

#include <array>
#include <cstdint>
#include <optional>

#include "mangovane/core/id.hpp"
#include "mangovane/core/sharded_map.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Bounded table of hints: an endpoint evicts unused prefixes, and loses all when it restarts.
class prefix_locations
{
public:
    /// Records that a request with the prefix was sent to an endpoint in this incarnation. At
    /// capacity, evicts the oldest prefix of the shard.
    void record(std::uint64_t prefix, endpoint_id endpoint, incarnation epoch, time_point now);

    /// Whether this incarnation of the endpoint was sent the prefix within `location_ttl`.
    [[nodiscard]] bool
    holds(std::uint64_t prefix, endpoint_id endpoint, incarnation epoch, time_point now);

    /// The endpoint other than `other` that was last sent the prefix within `location_ttl`.
    [[nodiscard]] std::optional<endpoint_id>
    last_other(std::uint64_t prefix, endpoint_id other, time_point now);

    /// Number of stored prefixes. For tests and metrics.
    [[nodiscard]] std::size_t size() { return locations_.size(); }

    static constexpr seconds location_ttl{30};
    static constexpr std::size_t capacity = 8192; ///< Prefixes.

private:
    static constexpr std::size_t shard_count = 16;
    static constexpr std::size_t locations_per_prefix = 4;

    struct location
    {
        endpoint_id endpoint;
        incarnation epoch{0};
        time_point sent_at{time_point::min()};

        [[nodiscard]] bool valid(time_point now) const noexcept
        {
            return sent_at != time_point::min() && now < sent_at + location_ttl;
        }
    };

    using location_list = std::array<location, locations_per_prefix>; ///< Latest first.

    sharded_map<std::uint64_t, location_list, shard_count> locations_;
};

} // namespace mangovane

#endif

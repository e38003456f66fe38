// Where this instance has sent requests that share a prefix: those endpoints should hold it.
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

/// A hint: an endpoint drops prefixes that are not used, and forgets all when it starts again.
class prefix_locations
{
public:
    /// A request with the prefix was sent to an endpoint, in its present incarnation.
    void record(std::uint64_t prefix, endpoint_id endpoint, incarnation epoch, time_point now);

    /// Whether the endpoint was sent the prefix within `validity`.
    [[nodiscard]] bool
    holds(std::uint64_t prefix, endpoint_id endpoint, incarnation epoch, time_point now);

    /// The endpoint that was sent the prefix last, `other` aside.
    [[nodiscard]] std::optional<endpoint_id>
    last_other(std::uint64_t prefix, endpoint_id other, time_point now);

    /// Prefixes that are remembered. For tests and metrics.
    [[nodiscard]] std::size_t size() { return places_.size(); }

    static constexpr seconds location_ttl{30};
    static constexpr std::size_t capacity = 8192; ///< Prefixes.

private:
    static constexpr std::size_t shard_count = 16;
    static constexpr std::size_t places_per_prefix = 4;

    struct place
    {
        endpoint_id endpoint;
        incarnation epoch{0};
        time_point at{time_point::min()};

        [[nodiscard]] bool valid(time_point now) const noexcept
        {
            return at != time_point::min() && now < at + location_ttl;
        }
    };

    using place_list = std::array<place, places_per_prefix>; ///< Latest first.

    sharded_map<std::uint64_t, place_list, shard_count> places_;
};

} // namespace mangovane

#endif

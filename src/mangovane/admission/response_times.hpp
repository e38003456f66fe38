// Time that the responses of a route, or of a service, usually take.
#ifndef MANGOVANE_ADMISSION_RESPONSE_TIMES_HPP
#define MANGOVANE_ADMISSION_RESPONSE_TIMES_HPP

#include <cstdint>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Moving averages of this instance's own responses. Thread-safe; holds one value for each route
/// and service of the configurations that were in force.
class response_times
{
public:
    /// `route` is the hash of the route's name, or the id of the service.
    void record(std::uint64_t route, duration time)
    {
        times_.with_entry(route, [&](duration& it)
                          { it = it == duration{} ? time : it + (time - it) / weight; });
    }

    /// Zero before the first response.
    [[nodiscard]] duration usual(std::uint64_t route)
    {
        duration result{};
        times_.find(route, [&](const duration& it) { result = it; });
        return result;
    }

private:
    /// The last 20 responses or so count: a change of load shows within a second at the rates at
    /// which a service runs out of room.
    static constexpr int weight = 20;

    sharded_map<std::uint64_t, duration> times_;
};

} // namespace mangovane

#endif

// Load of the reuse measurement: chats with a fixed number of turns and exponential think times.
#ifndef MANGOVANE_BENCH_CHAT_LOAD_HPP
#define MANGOVANE_BENCH_CHAT_LOAD_HPP

#include <cstddef>
#include <cstdint>

#include "bench/reuse_scenario.hpp"

namespace mangovane::bench
{

inline constexpr std::uint32_t turns_per_chat = 8;
inline constexpr seconds mean_think_time{240}; ///< Mean of an exponential distribution.
inline constexpr seconds response_time{12};
inline constexpr seconds load_report_period{1}; ///< Of the load reports to the routers.
inline constexpr std::size_t entry_instances = 13;
inline constexpr std::size_t directory_capacity = 1'000'000; ///< More chats than any run starts.

/// Mean interarrival time of new chats that yields the mean load of the fleet.
[[nodiscard]] constexpr duration mean_interarrival_time(const fleet_size& size)
{
    const auto in_flight = static_cast<std::int64_t>(size.engines) * size.mean_in_flight;
    return duration{response_time} * turns_per_chat / in_flight;
}

/// Cache capacity of an engine: four times its share of the prefixes of the chats that may return,
/// so that a prefix stays cached over nearly all think times.
[[nodiscard]] constexpr std::uint64_t cache_units(std::uint32_t mean_in_flight)
{
    constexpr std::uint64_t chats_per_request = (response_time + mean_think_time) / response_time;
    constexpr std::uint64_t mean_units = (turns_per_chat + 1) / 2;
    return 4 * mean_in_flight * chats_per_request * mean_units;
}

} // namespace mangovane::bench

#endif

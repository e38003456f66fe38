// The load of the reuse measurement: chats of equal length with pauses between their turns.
#ifndef MANGOVANE_BENCH_CHAT_LOAD_HPP
#define MANGOVANE_BENCH_CHAT_LOAD_HPP

#include <cstddef>
#include <cstdint>

#include "bench/reuse_scenario.hpp"

namespace mangovane::bench
{

inline constexpr std::uint32_t turns_per_chat = 8;
inline constexpr seconds pause_between_turns{240}; ///< Mean of an exponential distribution.
inline constexpr seconds answer_time{12};
inline constexpr seconds report_period{1}; ///< Of the loads that routers know without asking.
inline constexpr std::size_t entry_instances = 13;
inline constexpr std::size_t directory_capacity = 1'000'000; ///< Above the chats of any run.

/// Mean time between new chats that gives the mean load of the fleet.
[[nodiscard]] constexpr duration time_between_chats(const fleet_size& size)
{
    const auto in_flight = static_cast<std::int64_t>(size.engines) * size.mean_in_flight;
    return duration{answer_time} * turns_per_chat / in_flight;
}

/// Cache of an engine: four times its share of the prefixes of the chats that may return, so that
/// a prefix outlasts nearly all pauses.
[[nodiscard]] constexpr std::uint64_t cache_units(std::uint32_t mean_in_flight)
{
    constexpr std::uint64_t chats_per_request = (answer_time + pause_between_turns) / answer_time;
    constexpr std::uint64_t mean_units = (turns_per_chat + 1) / 2;
    return 4 * mean_in_flight * chats_per_request * mean_units;
}

} // namespace mangovane::bench

#endif

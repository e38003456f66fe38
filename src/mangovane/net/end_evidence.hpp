// What the connections to an endpoint tell, around the end of one of them, about the process that
// has ended it.
#ifndef MANGOVANE_NET_END_EVIDENCE_HPP
#define MANGOVANE_NET_END_EVIDENCE_HPP

#include <algorithm>
#include <compare>
#include <cstdint>
#include <span>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// State of a connection to an endpoint, as the kernel of this instance has it. The ages of one
/// sample, and of samples taken together, can be compared.
struct connection_sample
{
    std::uint64_t id{0};         ///< Unique in the process; grows in the order of establishment.
    bool established{false};     ///< Neither side has ended it.
    std::uint32_t unread{0};     ///< Bytes that have arrived and were not read.
    milliseconds silent_for{0};  ///< Since bytes of the endpoint arrived.
    milliseconds unheard_for{0}; ///< Since anything arrived: bytes, a receipt or an orderly end.
    bool reset{false};           ///< It has failed, so that its end is no orderly one.
    bool idle{false};            ///< A liveness connection, on which nothing is sent.
    /// Newest liveness connection that was established while this one was open; 0: none.
    std::uint64_t seen_beside{0};

    auto operator<=>(const connection_sample&) const = default;
};

/// Without bytes of the endpoint for this long, no packets of a backlog are on their way: on a link
/// of 1 Mbit/s a full packet takes 12 ms.
inline constexpr milliseconds min_silence{20};

/// A connection with fewer unread bytes has room in its receive window, which has at least 64 KB:
/// nothing holds back bytes or the end at the other side.
inline constexpr std::size_t max_unblocked_bytes = std::size_t{32} * 1024;

/// Whether a connection is open at its other side too: an end would have arrived, as nothing holds
/// it back there.
[[nodiscard]] constexpr bool is_open(const connection_sample& sample) noexcept
{
    return sample.established && sample.unread < max_unblocked_bytes;
}

/// Whether the end of the connection would have been seen by now if the endpoint's process had
/// ended. Bytes that wait at either side delay it.
[[nodiscard]] constexpr bool shows_process(const connection_sample& sample) noexcept
{
    return sample.established && sample.unread == 0 && sample.silent_for >= min_silence;
}

/// Whether a connection was established before and is still.
[[nodiscard]] inline bool any_remains(std::span<const connection_sample> before,
                                      std::span<const connection_sample> after)
{
    return std::ranges::any_of(after,
                               [&](const connection_sample& it)
                               {
                                   const auto at =
                                       std::ranges::find(before, it.id, &connection_sample::id);
                                   return it.established && at != before.end() && at->established;
                               });
}

/// Whether one of the connections that were established at the end of another one shows that the
/// process of the endpoint lives on. Those made later may lead to its successor at the address.
[[nodiscard]] inline bool any_shows_process(std::span<const connection_sample> before,
                                            std::span<const connection_sample> after)
{
    return std::ranges::any_of(
        after,
        [&](const connection_sample& it) {
            return shows_process(it) && any_remains(before, std::span{&it, 1});
        });
}

/// Whether two connections were open at the same time, so that they led to the same process: only
/// one at a time listens at an address. An end may have been read long after it came, when other
/// connections already led to a successor.
[[nodiscard]] constexpr bool were_open_together(const connection_sample& ended,
                                                const connection_sample& other) noexcept
{
    return other.id < ended.id || other.id <= ended.seen_beside;
}

/// An end that was lost on the way has been sent again by then: TCP repeats it after 200 ms.
inline constexpr milliseconds end_arrival_time{250};

/// What a liveness connection tells about the process that has ended another connection.
enum class process_sign : std::uint8_t
{
    none,  ///< Nothing.
    lives, ///< It was there after the end.
    ended, ///< It has ended at the same time.
};

[[nodiscard]] constexpr process_sign sign_of(const connection_sample& ended,
                                             const connection_sample& other) noexcept
{
    if (!other.idle || other.reset || !were_open_together(ended, other))
    {
        return process_sign::none;
    }
    if (other.established)
    {
        return process_sign::lives;
    }
    // Endpoints close idle connections after a timeout, before or after the response.
    const auto outlived_by = ended.unheard_for - other.unheard_for;
    if (outlived_by >= end_arrival_time)
    {
        return process_sign::lives;
    }
    return outlived_by > -end_arrival_time ? process_sign::ended : process_sign::none;
}

/// What the liveness connections tell together.
[[nodiscard]] inline process_sign sign_of(const connection_sample& ended,
                                          std::span<const connection_sample> others)
{
    auto result = process_sign::none;
    for (const auto& it : others)
    {
        const auto sign = sign_of(ended, it);
        if (sign == process_sign::lives)
        {
            return sign;
        }
        result = sign == process_sign::ended ? sign : result;
    }
    return result;
}

} // namespace mangovane

#endif

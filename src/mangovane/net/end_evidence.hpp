// Decides from what is seen of an endpoint after the end of a connection whether its process has
// ended too.
#ifndef MANGOVANE_NET_END_EVIDENCE_HPP
#define MANGOVANE_NET_END_EVIDENCE_HPP

#include <algorithm>
#include <compare>
#include <cstdint>
#include <span>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// State of a connection to an endpoint, as the kernel of this instance has it.
struct connection_sample
{
    std::uint64_t id{0};        ///< Unique among the connections of the process.
    bool established{false};    ///< Neither side has ended it.
    std::uint32_t unread{0};    ///< Bytes that have arrived and were not read.
    milliseconds silent_for{0}; ///< Since bytes of the endpoint arrived.

    auto operator<=>(const connection_sample&) const = default;
};

/// Without bytes of the endpoint for this long, no packets of a backlog are on their way: on a link
/// of 1 Mbit/s a full packet takes 12 ms.
inline constexpr milliseconds min_silence{20};

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

} // namespace mangovane

#endif

// Messages about the endpoints that hold a chat's prompt prefix. Each chat has two directory
// instances, which store these endpoints (its locations).
#ifndef MANGOVANE_MESSAGE_CHAT_HPP
#define MANGOVANE_MESSAGE_CHAT_HPP

#include <array>
#include <cstddef>
#include <cstdint>

#include "mangovane/core/id.hpp"

namespace mangovane
{

inline constexpr std::size_t locations_per_chat = 2;

/// The last endpoints that served a chat, most recent first; an empty id means none.
struct chat_locations
{
    std::array<endpoint_id, locations_per_chat> endpoints;

    [[nodiscard]] bool empty() const noexcept { return endpoints.front().empty(); }

    auto operator<=>(const chat_locations&) const = default;
};

/// Any instance to a directory instance of the chat: asks for its locations. `ticket` is chosen by
/// the sender and repeated in the answer.
struct chat_query
{
    std::uint64_t ticket{0};
    chat_id chat;

    auto operator<=>(const chat_query&) const = default;
};

/// Directory instance to the sender of a `chat_query`.
struct chat_answer
{
    std::uint64_t ticket{0};
    chat_id chat;
    chat_locations locations; ///< Empty: the directory has no entry for the chat.

    auto operator<=>(const chat_answer&) const = default;
};

/// Any instance to both directory instances of the chat after an endpoint has served it.
struct chat_update
{
    chat_id chat;
    endpoint_id endpoint;

    auto operator<=>(const chat_update&) const = default;
};

} // namespace mangovane

#endif

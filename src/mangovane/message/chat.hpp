// Messages about the endpoints that hold a chat's prompt prefix.
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

/// Any to directory instance. `ticket` is chosen by the asker and returned.
struct chat_query
{
    std::uint64_t ticket{0};
    chat_id chat;

    auto operator<=>(const chat_query&) const = default;
};

struct chat_answer
{
    std::uint64_t ticket{0};
    chat_id chat;
    chat_locations locations; ///< Empty: the directory does not know the chat.

    auto operator<=>(const chat_answer&) const = default;
};

/// Any to both directory instances after an endpoint has served the chat.
struct chat_update
{
    chat_id chat;
    endpoint_id endpoint;

    auto operator<=>(const chat_update&) const = default;
};

} // namespace mangovane

#endif

// Soft state of one directory instance: the last two endpoints of each chat that it is asked to
// remember.
#ifndef MANGOVANE_PLACEMENT_CHAT_DIRECTORY_HPP
#define MANGOVANE_PLACEMENT_CHAT_DIRECTORY_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/message/chat.hpp"

namespace mangovane
{

/// Directory copies of each chat.
inline constexpr std::size_t chat_copies = 2;

class chat_directory
{
public:
    /// Keeps at most `capacity` chats; beyond it the ones used longest ago are dropped first,
    /// approximately.
    explicit chat_directory(std::size_t capacity);

    /// Records that an endpoint served the chat: it becomes the most recent location.
    void update(const chat_update& msg, time_point now);

    /// Last locations of a chat; empty when unknown.
    [[nodiscard]] chat_locations find(chat_id chat);

    /// Entries held; they may come and go while they are counted.
    [[nodiscard]] std::size_t size();

private:
    static constexpr std::size_t shard_count = 64;

    /// Locations are kept as 32-bit prefixes of the endpoint ids would be smaller, but two of 940
    /// endpoints could then collide; an entry stays at 24 bytes with its key.
    struct entry
    {
        chat_locations locations;
        std::uint32_t used_s{0}; ///< Seconds since the directory was made.
    };

    std::size_t capacity_;
    time_point epoch_{};
    sharded_map<chat_id, entry, shard_count> entries_;
};

} // namespace mangovane

#endif

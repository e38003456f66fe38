// Chat locations stored at one instance, which may be lost at any time: the last two endpoints of
// each chat reported to it.
#ifndef MANGOVANE_PLACEMENT_CHAT_DIRECTORY_HPP
#define MANGOVANE_PLACEMENT_CHAT_DIRECTORY_HPP

#include <array>
#include <cstddef>
#include <memory>
#include <mutex>

#include "mangovane/core/time.hpp"
#include "mangovane/message/chat.hpp"
#include "mangovane/placement/directory_shard.hpp"

namespace mangovane
{

/// Number of instances whose directories hold a chat.
inline constexpr std::size_t chat_replicas = 2;

class chat_directory
{
public:
    /// Holds at most `capacity` chats, and at least one in each shard. Beyond that, evicts
    /// approximately the least recently updated.
    explicit chat_directory(std::size_t capacity);

    /// Records that an endpoint served the chat; it becomes the most recent location.
    void update(const chat_update& msg, time_point now);

    /// Last locations of a chat, newest first; empty when unknown.
    [[nodiscard]] chat_locations find(chat_id chat);

    /// Number of entries; approximate while other threads update the directory.
    [[nodiscard]] std::size_t size();

private:
    static constexpr std::size_t shard_count = 64;

    struct guarded_shard
    {
        explicit guarded_shard(std::size_t capacity) : entries{capacity} {}
        std::mutex mutex;
        internal::directory_shard entries; ///< Guarded by `mutex`.
    };

    [[nodiscard]] guarded_shard& shard_of(chat_id chat);

    /// Not a `sharded_map`: eviction needs access to entries by position, which a hash map does not
    /// provide.
    std::array<std::unique_ptr<guarded_shard>, shard_count> shards_;
};

} // namespace mangovane

#endif

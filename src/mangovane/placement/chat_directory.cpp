// Implementation of the chat directory.
#include "mangovane/placement/chat_directory.hpp"

#include "mangovane/core/hash.hpp"

namespace mangovane
{

chat_directory::chat_directory(std::size_t capacity)
{
    for (std::size_t n = 0; n != shard_count; ++n)
    {
        const auto share = capacity / shard_count + (n < capacity % shard_count ? 1 : 0);
        shards_[n] = std::make_unique<guarded_shard>(share);
    }
}

void chat_directory::update(const chat_update& msg, time_point now)
{
    auto& it = shard_of(msg.chat);
    const std::lock_guard lock{it.mutex};
    it.entries.update(msg, now);
}

chat_locations chat_directory::find(chat_id chat)
{
    auto& it = shard_of(chat);
    const std::lock_guard lock{it.mutex};
    return it.entries.find(chat);
}

std::size_t chat_directory::size()
{
    std::size_t n = 0;
    for (const auto& it : shards_)
    {
        const std::lock_guard lock{it->mutex};
        n += it->entries.size();
    }
    return n;
}

chat_directory::guarded_shard& chat_directory::shard_of(chat_id chat)
{
    // The id is hashed again: a directory holds only chats whose rendezvous order selects it, so
    // the plain ids are not evenly distributed.
    return *shards_[hash_combine(chat.value(), shard_count) % shard_count];
}

} // namespace mangovane

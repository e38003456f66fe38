// One shard of the chat directory: a bounded table of chats that evicts approximately the least
// recently updated.
#ifndef MANGOVANE_PLACEMENT_DIRECTORY_SHARD_HPP
#define MANGOVANE_PLACEMENT_DIRECTORY_SHARD_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "mangovane/core/time.hpp"
#include "mangovane/message/chat.hpp"

namespace mangovane::internal
{

/// Not thread-safe: the chat directory holds the shard's lock. A full shard replaces the oldest of
/// a few randomly sampled entries, so the cost of an insert does not depend on the size.
class directory_shard
{
public:
    explicit directory_shard(std::size_t capacity);
    directory_shard(const directory_shard&) = delete;
    directory_shard& operator=(const directory_shard&) = delete;

    void update(const chat_update& msg, time_point now);
    [[nodiscard]] chat_locations find(chat_id chat) const;
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

private:
    struct entry
    {
        chat_id chat;
        chat_locations locations;
        /// Time of the last update, in seconds of the steady clock.
        std::uint32_t last_updated_s{0};
    };

    /// The index stores positions instead of keys: 5 bytes per slot of the hash table instead
    /// of 17.
    struct position_hash
    {
        using is_transparent = void;
        const std::vector<entry>* entries;
        std::size_t operator()(chat_id chat) const { return absl::Hash<chat_id>{}(chat); }
        std::size_t operator()(std::uint32_t at) const { return (*this)((*entries)[at].chat); }
    };

    struct position_equal
    {
        using is_transparent = void;
        const std::vector<entry>* entries;
        bool operator()(std::uint32_t lhs, std::uint32_t rhs) const { return lhs == rhs; }
        bool operator()(std::uint32_t at, chat_id chat) const
        {
            return (*entries)[at].chat == chat;
        }
    };

    void insert(const entry& added);
    void grow();
    [[nodiscard]] std::uint32_t choose_victim();

    std::size_t capacity_;
    std::uint64_t evictions_{0}; ///< Number of evictions; seeds the sample of the next one.
    std::vector<entry> entries_; ///< At most `capacity_`; unordered.
    /// Positions in `entries_`, by chat; exactly one for each entry.
    absl::flat_hash_set<std::uint32_t, position_hash, position_equal> index_;
};

} // namespace mangovane::internal

#endif

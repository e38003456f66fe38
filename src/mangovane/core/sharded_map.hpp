// Hash map that is split into shards, each under its own lock.
#ifndef MANGOVANE_CORE_SHARDED_MAP_HPP
#define MANGOVANE_CORE_SHARDED_MAP_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <mutex>
#include <utility>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

/// Shard of a key, independent of the order of the keys. Mixed once more, because the map inside
/// the shard uses the low bits of the same hash.
struct mixed_shards
{
    template <std::size_t Shards, class Key>
    [[nodiscard]] static std::size_t index_of(const Key& key)
    {
        return hash_combine(absl::Hash<Key>{}(key), 0) % Shards;
    }
};

/// For keys that are hashes of names: consecutive keys are in the same shard, so that a walk over
/// ordered keys takes the lock of each shard once.
struct ordered_shards
{
    template <std::size_t Shards, class Key>
    [[nodiscard]] static std::size_t index_of(const Key& key)
    {
        constexpr auto keys_per_shard = std::numeric_limits<std::uint64_t>::max() / Shards + 1;
        return key.value() / keys_per_shard;
    }
};

/// Thread-safe hash map. Visitors run under the lock of one shard: they must not block, send
/// messages or access another sharded map, and return their results by value.
template <class Key, class Value, std::size_t Shards = 16, class Sharding = mixed_shards>
class sharded_map
{
public:
    using map_type = absl::flat_hash_map<Key, Value>;

    /// Calls `visitor(map)` with the map of the shard that holds the key.
    template <class Visitor>
    decltype(auto) with_shard(const Key& key, Visitor&& visitor)
    {
        auto& shard = shards_[index_of(key)];
        const std::lock_guard lock{shard.mutex};
        return std::forward<Visitor>(visitor)(shard.entries);
    }

    /// Calls `visitor(value)` with the entry of the key, which is made from `args` if absent.
    template <class Visitor, class... Args>
    decltype(auto) with_entry(const Key& key, Visitor&& visitor, Args&&... args)
    {
        return with_shard(key,
                          [&](map_type& entries) -> decltype(auto)
                          {
                              auto it = entries.try_emplace(key, std::forward<Args>(args)...).first;
                              return std::forward<Visitor>(visitor)(it->second);
                          });
    }

    /// Calls `visitor(value)` if the key is present; returns whether it was.
    template <class Visitor>
    bool find(const Key& key, Visitor&& visitor)
    {
        return with_shard(key,
                          [&](map_type& entries)
                          {
                              const auto it = entries.find(key);
                              if (it == entries.end())
                              {
                                  return false;
                              }
                              std::forward<Visitor>(visitor)(it->second);
                              return true;
                          });
    }

    /// Calls `visitor(item, entry)` for each item, with a pointer to the entry of the key
    /// `key_of(item)`, or null. Keeps the lock of a shard from one item to the next of that shard.
    template <class Items, class KeyOf, class Visitor>
    void find_each(const Items& items, KeyOf&& key_of, Visitor&& visitor)
    {
        shard* held = nullptr;
        std::unique_lock<std::mutex> lock;
        for (const auto& item : items)
        {
            const Key key = key_of(item);
            auto& next = shards_[index_of(key)];
            if (held != &next)
            {
                // Released first: no thread holds two shards.
                lock = {};
                lock = std::unique_lock{next.mutex};
                held = &next;
            }
            const auto it = next.entries.find(key);
            visitor(item, it == next.entries.end() ? nullptr : &it->second);
        }
    }

    /// Calls `visitor(map)` for each shard in turn, under one lock at a time.
    template <class Visitor>
    void for_each_shard(Visitor&& visitor)
    {
        for (auto& shard : shards_)
        {
            const std::lock_guard lock{shard.mutex};
            visitor(shard.entries);
        }
    }

    /// Number of entries; approximate while other threads insert or erase.
    [[nodiscard]] std::size_t size()
    {
        std::size_t n = 0;
        for_each_shard([&](const map_type& entries) { n += entries.size(); });
        return n;
    }

private:
    struct shard
    {
        std::mutex mutex;
        map_type entries; ///< Guarded by `mutex`.
    };

    [[nodiscard]] static std::size_t index_of(const Key& key)
    {
        return Sharding::template index_of<Shards>(key);
    }

    std::array<shard, Shards> shards_;
};

} // namespace mangovane

#endif

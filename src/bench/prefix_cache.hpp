// Model of an engine's prompt prefix cache.
#ifndef MANGOVANE_BENCH_PREFIX_CACHE_HPP
#define MANGOVANE_BENCH_PREFIX_CACHE_HPP

#include <cstdint>
#include <deque>

#include <absl/container/flat_hash_map.h>

namespace mangovane::bench
{

/// LRU cache of chat prefixes with a capacity in prefix units. A unit is the growth of the prompt
/// by one turn. Holds the prefix of each chat up to the last turn that the engine served.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacity) : capacity_{capacity} {}

    /// Number of cached units of the chat's prefix.
    [[nodiscard]] std::uint32_t units(std::uint32_t chat) const;

    /// Stores the prefix of a chat that was served; it now has `units` units.
    void store(std::uint32_t chat, std::uint32_t units);

private:
    struct entry
    {
        std::uint32_t units{0};
        std::uint64_t stamp{0};
    };

    struct access
    {
        std::uint32_t chat{0};
        std::uint64_t stamp{0};
    };

    void evict();

    std::uint64_t capacity_;
    std::uint64_t used_{0}; ///< Sum of the units of all entries.
    std::uint64_t stamp_{0};
    absl::flat_hash_map<std::uint32_t, entry> entries_;
    std::deque<access> accesses_; ///< Oldest first; stale if the entry has another stamp.
};

} // namespace mangovane::bench

#endif

// Model of an engine's prompt prefix cache.
#ifndef MANGOVANE_BENCH_PREFIX_CACHE_HPP
#define MANGOVANE_BENCH_PREFIX_CACHE_HPP

#include <cstdint>
#include <deque>

#include <absl/container/flat_hash_map.h>

namespace mangovane::bench
{

/// Keeps the prefix of each chat up to the last turn that the engine served, within a limit in
/// prefix units. The chats used longest ago are evicted first.
class prefix_cache
{
public:
    explicit prefix_cache(std::uint64_t capacity) : capacity_{capacity} {}

    /// Units of the chat's prefix that are cached.
    [[nodiscard]] std::uint32_t units(std::uint32_t chat) const;

    /// The engine has served the chat: its prefix now has `units` units.
    void store(std::uint32_t chat, std::uint32_t units);

private:
    struct entry
    {
        std::uint32_t units{0};
        std::uint64_t stamp{0};
    };

    struct use
    {
        std::uint32_t chat{0};
        std::uint64_t stamp{0};
    };

    void evict();

    std::uint64_t capacity_;
    std::uint64_t used_{0}; ///< Sum of the units of all entries.
    std::uint64_t stamp_{0};
    absl::flat_hash_map<std::uint32_t, entry> entries_;
    std::deque<use> uses_; ///< Oldest first; uses older than the entry's stamp are ignored.
};

} // namespace mangovane::bench

#endif

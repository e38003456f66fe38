// Remembers when endpoints last survived requests with each prompt part, in bounded memory.
#ifndef MANGOVANE_QUARANTINE_ANSWER_LOG_HPP
#define MANGOVANE_QUARANTINE_ANSWER_LOG_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Two generations of entries per shard: when the younger one is full or old, it replaces the older
/// one. Parts that occur once can therefore displace others, but never grow the table. Thread-safe.
class answer_log
{
public:
    /// Records that an endpoint has survived a request with the part.
    void record(std::uint64_t part, time_point now);

    /// When a request with the part was last answered; empty if that is unknown or longer ago than
    /// two generations last.
    [[nodiscard]] std::optional<time_point> last(std::uint64_t part);

    /// Number of stored entries. For tests.
    [[nodiscard]] std::size_t size();

    static constexpr std::size_t capacity = 8192; ///< Entries, over both generations.
    static constexpr seconds generation_time{30};

private:
    static constexpr std::size_t shard_count = 16;

    using generation = absl::flat_hash_map<std::uint64_t, time_point>;

    struct shard
    {
        std::mutex mutex;
        generation young;        ///< Guarded by `mutex`.
        generation old;          ///< Guarded by `mutex`.
        time_point started_at{}; ///< Of the younger generation. Guarded by `mutex`.
    };

    [[nodiscard]] shard& shard_of(std::uint64_t part);

    std::array<shard, shard_count> shards_;
};

} // namespace mangovane

#endif

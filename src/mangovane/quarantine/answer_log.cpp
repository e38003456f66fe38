// Implementation of the log of answers.
#include "mangovane/quarantine/answer_log.hpp"

#include <algorithm>
#include <utility>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

answer_log::shard& answer_log::shard_of(std::uint64_t part)
{
    return shards_[hash_combine(part, 0) % shard_count];
}

void answer_log::record(std::uint64_t part, time_point now)
{
    auto& it = shard_of(part);
    const std::lock_guard lock{it.mutex};
    const bool full = it.young.size() >= capacity / shard_count / 2 && !it.young.contains(part);
    if (full || now >= it.started_at + generation_time)
    {
        it.old = std::exchange(it.young, {});
        it.started_at = now;
    }
    auto& at = it.young[part];
    at = std::max(at, now);
}

std::optional<time_point> answer_log::last(std::uint64_t part)
{
    auto& it = shard_of(part);
    const std::lock_guard lock{it.mutex};
    for (const auto* entries : {&it.young, &it.old})
    {
        const auto found = entries->find(part);
        if (found != entries->end())
        {
            return found->second;
        }
    }
    return std::nullopt;
}

std::size_t answer_log::size()
{
    std::size_t n = 0;
    for (auto& it : shards_)
    {
        const std::lock_guard lock{it.mutex};
        n += it.young.size() + it.old.size();
    }
    return n;
}

} // namespace mangovane

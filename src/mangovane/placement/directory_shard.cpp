// Implementation of the directory shard.
#include "mangovane/placement/directory_shard.hpp"

#include <algorithm>

#include "mangovane/core/hash.hpp"

namespace mangovane::internal
{

namespace
{

/// Entries compared for an eviction. With 8, the victim is among the oldest 25% of the shard in 9
/// of 10 cases.
constexpr std::size_t eviction_sample = 8;
/// Minimum number of entries by which the storage grows.
constexpr std::size_t growth_step = 16;

std::uint32_t clock_seconds(time_point now)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<seconds>(now.time_since_epoch()).count());
}

void add_location(chat_locations& locations, endpoint_id endpoint)
{
    auto& list = locations.endpoints;
    const auto it = std::find(list.begin(), list.end() - 1, endpoint);
    std::move_backward(list.begin(), it, it + 1);
    list.front() = endpoint;
}

} // namespace

directory_shard::directory_shard(std::size_t capacity)
    : capacity_{std::max<std::size_t>(capacity, 1)}, index_{0, position_hash{&entries_},
                                                            position_equal{&entries_}}
{}

void directory_shard::update(const chat_update& msg, time_point now)
{
    const auto it = index_.find(msg.chat);
    if (it == index_.end())
    {
        insert(entry{msg.chat, chat_locations{{msg.endpoint, endpoint_id{}}}, clock_seconds(now)});
        return;
    }
    auto& known = entries_[*it];
    add_location(known.locations, msg.endpoint);
    known.last_updated_s = std::max(known.last_updated_s, clock_seconds(now));
}

chat_locations directory_shard::find(chat_id chat) const
{
    const auto it = index_.find(chat);
    return it == index_.end() ? chat_locations{} : entries_[*it].locations;
}

void directory_shard::insert(const entry& added)
{
    if (entries_.size() < capacity_)
    {
        grow();
        entries_.push_back(added);
        index_.insert(static_cast<std::uint32_t>(entries_.size() - 1));
        return;
    }
    const auto victim = choose_victim();
    index_.erase(index_.find(entries_[victim].chat));
    entries_[victim] = added;
    index_.insert(victim);
}

void directory_shard::grow()
{
    const auto n = entries_.size();
    if (n == entries_.capacity())
    {
        // Grows by a quarter instead of doubling, and never beyond the capacity: unused space could
        // otherwise take as much memory as the entries.
        entries_.reserve(std::min(capacity_, n + n / 4 + growth_step));
    }
}

std::uint32_t directory_shard::choose_victim()
{
    ++evictions_;
    std::size_t oldest = hash_combine(evictions_, 0) % entries_.size();
    for (std::size_t n = 1; n != eviction_sample; ++n)
    {
        const auto other = hash_combine(evictions_, n) % entries_.size();
        if (entries_[other].last_updated_s < entries_[oldest].last_updated_s)
        {
            oldest = other;
        }
    }
    return static_cast<std::uint32_t>(oldest);
}

} // namespace mangovane::internal

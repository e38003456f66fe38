// Implementation of the prefix cache model.
#include "bench/prefix_cache.hpp"

namespace mangovane::bench
{

std::uint32_t prefix_cache::units(std::uint32_t chat) const
{
    const auto it = entries_.find(chat);
    return it == entries_.end() ? 0 : it->second.units;
}

void prefix_cache::store(std::uint32_t chat, std::uint32_t units)
{
    auto& it = entries_[chat];
    used_ += units;
    used_ -= it.units;
    it = entry{units, ++stamp_};
    accesses_.push_back({chat, stamp_});
    evict();
}

void prefix_cache::evict()
{
    while (used_ > capacity_)
    {
        const auto oldest = accesses_.front();
        accesses_.pop_front();
        const auto it = entries_.find(oldest.chat);
        if (it != entries_.end() && it->second.stamp == oldest.stamp)
        {
            used_ -= it->second.units;
            entries_.erase(it);
        }
    }
}

} // namespace mangovane::bench

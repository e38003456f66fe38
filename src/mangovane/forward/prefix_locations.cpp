// Implementation of the prefix locations.
#include "mangovane/forward/prefix_locations.hpp"

#include <algorithm>

namespace mangovane
{

void prefix_locations::record(std::uint64_t prefix,
                              endpoint_id endpoint,
                              incarnation epoch,
                              time_point now)
{
    locations_.with_shard(
        prefix,
        [&](auto& entries)
        {
            if (entries.size() >= capacity / shard_count && !entries.contains(prefix))
            {
                const auto oldest = std::min_element(
                    entries.begin(), entries.end(),
                    [](const auto& lhs, const auto& rhs)
                    { return lhs.second.front().sent_at < rhs.second.front().sent_at; });
                entries.erase(oldest);
            }
            auto& list = entries[prefix];
            auto it =
                std::find_if(list.begin(), list.end(),
                             [&](const location& entry) { return entry.endpoint == endpoint; });
            it = it == list.end() ? list.end() - 1 : it;
            *it = location{endpoint, epoch, now};
            std::rotate(list.begin(), it, it + 1);
        });
}

bool prefix_locations::holds(std::uint64_t prefix,
                             endpoint_id endpoint,
                             incarnation epoch,
                             time_point now)
{
    bool result = false;
    locations_.find(prefix,
                    [&](const location_list& list)
                    {
                        result = std::any_of(list.begin(), list.end(),
                                             [&](const location& it) {
                                                 return it.endpoint == endpoint &&
                                                        it.epoch == epoch && it.valid(now);
                                             });
                    });
    return result;
}

std::optional<endpoint_id>
prefix_locations::last_other(std::uint64_t prefix, endpoint_id other, time_point now)
{
    std::optional<endpoint_id> result;
    locations_.find(prefix,
                    [&](const location_list& list)
                    {
                        const auto it =
                            std::find_if(list.begin(), list.end(),
                                         [&](const location& entry)
                                         { return entry.endpoint != other && entry.valid(now); });
                        if (it != list.end())
                        {
                            result = it->endpoint;
                        }
                    });
    return result;
}

} // namespace mangovane

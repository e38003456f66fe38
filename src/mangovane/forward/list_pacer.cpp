// Implementation of the pacing of endpoint lists.
#include "mangovane/forward/list_pacer.hpp"

#include <algorithm>

namespace mangovane
{

void list_pacer::request(instance_id from, endpoint_list_revision known_revision, time_point now)
{
    const auto served = served_.find(from);
    if (served != served_.end() && served->second.known_revision == known_revision &&
        now < served->second.at + repeat_interval)
    {
        return;
    }
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [&](const pending_request& it) { return it.from == from; });
    if (found != pending_.end())
    {
        found->known_revision = known_revision;
        return;
    }
    pending_.push_back({from, known_revision});
}

std::vector<list_recipients> list_pacer::take_round(time_point now)
{
    std::vector<list_recipients> result;
    if (pending_.empty() || now < next_round_at_)
    {
        return result;
    }
    next_round_at_ = now + round_interval;
    absl::erase_if(served_, [&](const auto& it) { return now >= it.second.at + repeat_interval; });
    std::vector<pending_request> later;
    std::size_t count = 0;
    for (const auto& it : pending_)
    {
        auto group = std::find_if(result.begin(), result.end(),
                                  [&](const list_recipients& other)
                                  { return other.known_revision == it.known_revision; });
        const bool is_new = group == result.end();
        if (count == max_recipients || (is_new && result.size() == max_updates))
        {
            later.push_back(it);
            continue;
        }
        if (is_new)
        {
            group = result.insert(result.end(), {it.known_revision, {}});
        }
        group->to.push_back(it.from);
        served_[it.from] = {it.known_revision, now};
        ++count;
    }
    pending_ = std::move(later);
    return result;
}

} // namespace mangovane

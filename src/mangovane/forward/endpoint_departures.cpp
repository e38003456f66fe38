// Implementation of the record of endpoints that leave.
#include "mangovane/forward/endpoint_departures.hpp"

namespace mangovane
{

void endpoint_departures::on_list(const endpoint_directory& before,
                                  const endpoint_directory& after,
                                  time_point now)
{
    for (const auto& it : before.all())
    {
        if (after.find(it.id) == nullptr)
        {
            note(it.id, it.epoch, false, now);
        }
    }
    for (const auto& it : after.all())
    {
        if (it.leaving)
        {
            note(it.id, it.epoch, false, now);
        }
        else
        {
            withdraw(it);
        }
    }
}

void endpoint_departures::on_stated(endpoint_id endpoint, incarnation epoch, time_point now)
{
    note(endpoint, epoch, true, now);
}

std::optional<time_point> endpoint_departures::serves_until(endpoint_id endpoint, incarnation epoch)
{
    std::optional<time_point> result;
    entries_.find(endpoint, [&](const departure& it)
                  { result = it.epoch == epoch ? std::optional{it.serves_until} : std::nullopt; });
    return result;
}

void endpoint_departures::expire(time_point now)
{
    entries_.for_each_shard(
        [&](auto& entries)
        { absl::erase_if(entries, [&](const auto& it) { return now >= it.second.keep_until; }); });
}

void endpoint_departures::note(endpoint_id endpoint, incarnation epoch, bool stated, time_point now)
{
    entries_.with_entry(endpoint,
                        [&](departure& it)
                        {
                            const bool known = it.keep_until != time_point{} && it.epoch == epoch;
                            it.serves_until = known ? it.serves_until : now + drain_time_;
                            it.stated = stated || (known && it.stated);
                            it.epoch = epoch;
                            it.keep_until = now + retention;
                        });
}

void endpoint_departures::withdraw(const endpoint_info& listed)
{
    entries_.with_shard(listed.id,
                        [&](auto& entries)
                        {
                            const auto it = entries.find(listed.id);
                            const bool same =
                                it != entries.end() && it->second.epoch == listed.epoch;
                            if (same && !it->second.stated)
                            {
                                entries.erase(it);
                            }
                        });
}

} // namespace mangovane

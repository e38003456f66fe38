// Implementation of the board of endpoints.
#include "mangovane/forward/endpoint_board.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mangovane
{

namespace
{

template <class Narrow>
Narrow clamp_to(std::uint32_t value)
{
    return static_cast<Narrow>(std::min<std::uint32_t>(value, std::numeric_limits<Narrow>::max()));
}

} // namespace

void endpoint_board::on_started(endpoint_id endpoint)
{
    records_.with_entry(endpoint, [](endpoint_record& it) { it.on_started(); });
}

void endpoint_board::on_finished(endpoint_id endpoint, attempt_end end, time_point now)
{
    records_.with_entry(endpoint, [&](endpoint_record& it) { it.on_finished(end, now); });
}

void endpoint_board::add(const load_digest& digest)
{
    for (const auto& entry : digest.endpoints)
    {
        records_.with_entry(entry.endpoint, [&](endpoint_record& it) { it.add_others(entry); });
    }
}

void endpoint_board::remove(const load_digest& digest)
{
    for (const auto& entry : digest.endpoints)
    {
        records_.find(entry.endpoint, [&](endpoint_record& it) { it.remove_others(entry); });
    }
}

void endpoint_board::on_digest(instance_id from, const load_digest& digest, time_point now)
{
    const std::lock_guard lock{mutex_};
    auto& known = digests_[from];
    remove(known.content);
    add(digest);
    known = received_digest{digest, now};
}

void endpoint_board::expire(time_point now)
{
    const std::lock_guard lock{mutex_};
    for (auto it = digests_.begin(); it != digests_.end();)
    {
        const auto place = it++;
        if (now >= place->second.heard_at + digest_validity)
        {
            remove(place->second.content);
            digests_.erase(place);
        }
    }
    records_.for_each_shard(
        [&](auto& entries)
        { absl::erase_if(entries, [&](const auto& it) { return it.second.idle(now); }); });
}

endpoint_standing endpoint_board::standing(endpoint_id endpoint, time_point now)
{
    endpoint_standing result;
    records_.find(endpoint,
                  [&](const endpoint_record& it) {
                      result = {it.load(), it.suspended(now), it.counts(now)};
                  });
    return result;
}

bool endpoint_board::try_cold(endpoint_id endpoint,
                              duration spacing,
                              duration first_wait,
                              time_point now)
{
    return records_.with_entry(endpoint, [&](endpoint_record& it)
                               { return it.try_cold(spacing, first_wait, now); });
}

load_digest endpoint_board::digest(time_point now)
{
    load_digest result;
    records_.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [id, it] : entries)
            {
                const auto own = it.own_counts(now);
                if (it.in_flight() != 0 || own != attempt_counts{})
                {
                    result.endpoints.push_back({id, clamp_to<std::uint16_t>(it.in_flight()),
                                                clamp_to<std::uint8_t>(own.failures),
                                                clamp_to<std::uint8_t>(own.successes)});
                }
            }
        });
    if (result.endpoints.size() > max_digest_endpoints)
    {
        result.endpoints.resize(max_digest_endpoints);
    }
    return result;
}

} // namespace mangovane

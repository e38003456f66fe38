// Implementation of the endpoint tracker.
#include "mangovane/forward/endpoint_tracker.hpp"

#include <algorithm>
#include <cmath>
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

/// In units of a digest, rounded up.
std::uint16_t to_token_units(std::uint64_t tokens)
{
    constexpr std::uint64_t max = std::numeric_limits<std::uint16_t>::max();
    constexpr auto unit = endpoint_digest::held_tokens_unit;
    return static_cast<std::uint16_t>(std::min(max, (tokens + unit - 1) / unit));
}

/// Adds a speed to a digest, unless it is too old to be expressed there.
void add_speed(endpoint_digest& digest, const stated_speed& speed, time_point now)
{
    constexpr auto max = std::numeric_limits<std::uint8_t>::max();
    if (!speed.known() || now > speed.at + max * endpoint_digest::speed_age_unit)
    {
        return;
    }
    const auto units = std::lround(speed.value / endpoint_digest::speed_unit);
    digest.speed = static_cast<std::uint8_t>(std::clamp<long>(units, 1, max));
    const auto age = std::max(duration{0}, now - speed.at) / endpoint_digest::speed_age_unit;
    digest.speed_age = static_cast<std::uint8_t>(age);
}

} // namespace

void endpoint_tracker::on_started(endpoint_id endpoint)
{
    records_.with_entry(endpoint, [](endpoint_record& it) { it.on_started(); });
}

void endpoint_tracker::on_finished(endpoint_id endpoint, health_outcome outcome, time_point now)
{
    records_.with_entry(endpoint, [&](endpoint_record& it) { it.on_finished(outcome, now); });
}

void endpoint_tracker::on_tokens_held(endpoint_id endpoint, std::uint64_t tokens)
{
    records_.with_entry(endpoint, [&](endpoint_record& it) { it.hold_tokens(tokens); });
}

void endpoint_tracker::on_tokens_released(endpoint_id endpoint, std::uint64_t tokens)
{
    records_.find(endpoint, [&](endpoint_record& it) { it.release_tokens(tokens); });
}

void endpoint_tracker::add(const load_digest& digest, time_point now)
{
    for (const auto& entry : digest.endpoints)
    {
        records_.with_entry(entry.endpoint,
                            [&](endpoint_record& it)
                            {
                                it.add_peer_digest(entry);
                                it.on_peer_speed(entry, now);
                            });
        if (entry.speed != 0)
        {
            speed_stated_ = true;
        }
    }
}

void endpoint_tracker::remove(const load_digest& digest)
{
    for (const auto& entry : digest.endpoints)
    {
        records_.find(entry.endpoint, [&](endpoint_record& it) { it.remove_peer_digest(entry); });
    }
}

void endpoint_tracker::on_digest(instance_id from, const load_digest& digest, time_point now)
{
    const std::lock_guard lock{mutex_};
    const auto [entry, is_new] = digests_.try_emplace(from);
    auto& previous = entry->second;
    remove(previous.content);
    add(digest, now);
    if (!is_new)
    {
        on_receipt(previous.received_at, -1);
    }
    on_receipt(now, 1);
    previous = received_digest{digest, now};
}

void endpoint_tracker::on_receipt(time_point at, std::int64_t change)
{
    const std::lock_guard lock{receipts_mutex_};
    receipts_.count += change;
    receipts_.sum +=
        change * std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch());
}

duration endpoint_tracker::mean_digest_age(time_point now)
{
    const std::lock_guard lock{receipts_mutex_};
    return receipts_.count == 0
               ? duration{0}
               : std::max(duration{0}, now.time_since_epoch() - receipts_.sum / receipts_.count);
}

void endpoint_tracker::expire(time_point now)
{
    const std::lock_guard lock{mutex_};
    for (auto it = digests_.begin(); it != digests_.end();)
    {
        const auto current = it++;
        if (now >= current->second.received_at + digest_ttl)
        {
            remove(current->second.content);
            on_receipt(current->second.received_at, -1);
            digests_.erase(current);
        }
    }
    records_.for_each_shard(
        [&](auto& entries)
        { absl::erase_if(entries, [&](const auto& it) { return it.second.is_removable(now); }); });
}

void endpoint_tracker::on_notice(endpoint_id endpoint,
                                 incarnation epoch,
                                 const endpoint_notice& notice,
                                 time_point now)
{
    records_.with_entry(endpoint, [&](endpoint_record& it) { it.on_notice(notice, epoch, now); });
    if (notice.load && notice.load->work_percent != 0)
    {
        speed_stated_ = true;
    }
}

endpoint_snapshot
endpoint_tracker::snapshot_of(endpoint_id endpoint, incarnation epoch, time_point now)
{
    endpoint_snapshot result;
    records_.find(endpoint,
                  [&](endpoint_record& it)
                  {
                      it.on_incarnation(epoch);
                      result = {it.load(),         it.suspended(now),
                                it.leaving(epoch), it.closed_until(epoch),
                                it.counts(now),    it.known_load(now)};
                  });
    return result;
}

void endpoint_tracker::visit(
    std::span<const endpoint_info* const> endpoints,
    absl::FunctionRef<void(const endpoint_info&, const endpoint_record&)> visitor)
{
    static const endpoint_record no_record;
    records_.find_each(
        endpoints, [](const endpoint_info* it) { return it->id; },
        [&](const endpoint_info* it, endpoint_record* record)
        {
            if (record != nullptr)
            {
                record->on_incarnation(it->epoch);
            }
            visitor(*it, record == nullptr ? no_record : *record);
        });
}

bool endpoint_tracker::try_admit_cold(endpoint_id endpoint,
                                      duration interval,
                                      duration first_wait,
                                      time_point now)
{
    return records_.with_entry(endpoint, [&](endpoint_record& it)
                               { return it.try_admit_cold(interval, first_wait, now); });
}

bool endpoint_tracker::would_admit_cold(endpoint_id endpoint,
                                        duration interval,
                                        duration first_wait,
                                        time_point now)
{
    endpoint_record copy;
    records_.find(endpoint, [&](const endpoint_record& it) { copy = it; });
    return copy.try_admit_cold(interval, first_wait, now);
}

load_digest endpoint_tracker::digest(time_point now)
{
    return digest(now, [](endpoint_id) { return false; });
}

load_digest endpoint_tracker::digest(time_point now,
                                     absl::FunctionRef<bool(endpoint_id)> states_tokens)
{
    load_digest result;
    records_.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [id, it] : entries)
            {
                const auto own = it.local_counts(now);
                if (it.in_flight() != 0 || own != attempt_counts{})
                {
                    result.endpoints.push_back({id, clamp_to<std::uint16_t>(it.in_flight()),
                                                clamp_to<std::uint8_t>(own.failures),
                                                clamp_to<std::uint8_t>(own.successes)});
                    auto& entry = result.endpoints.back();
                    add_speed(entry, it.heard_speed(), now);
                    const auto tokens = it.own_held_tokens();
                    entry.held_tokens =
                        tokens != 0 && states_tokens(id) ? to_token_units(tokens) : 0;
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

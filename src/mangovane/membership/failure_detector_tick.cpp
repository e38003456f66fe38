// Implementation of the failure detector: probes, timeouts and table transfers.
#include "mangovane/membership/failure_detector.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace mangovane::internal
{

namespace
{

/// Members asked to probe a member that did not acknowledge in time.
constexpr std::size_t indirect_probes = 3;

/// Members to which a new settings version is sent at once. Regular probes alone would take longer
/// than the 2 s within which a change has to take effect.
constexpr std::size_t announcement_fanout = 3;

/// A longer time between two ticks is handled as a pause of the process: timeouts of other
/// members are postponed. `forward_router` logs pauses of more than 1 s.
constexpr milliseconds max_tick_interval{200};

/// Period in which the validity of the view is extended.
constexpr milliseconds extension_period{500};

/// Period in which a dead member is probed, so that the sides of a healed partition rejoin.
constexpr milliseconds dead_probe_period{1000};

/// Members that probe the same dead member in one period, on average. Without this limit, a member
/// that comes back would receive probes from all others at once.
constexpr std::size_t probers_of_dead_member = 8;

/// Table records sent in one tick, to one joining member at a time. Two frames keep the sender
/// within its budget for control traffic.
constexpr std::size_t table_records_per_tick = 2 * max_updates_per_probe;

} // namespace

peer_record* failure_detector::find(instance_id id)
{
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
}

std::vector<instance_id> failure_detector::live_peers() const
{
    std::vector<instance_id> result;
    for (const auto& [id, it] : records_)
    {
        if (id != self_id_ && it.live())
        {
            result.push_back(id);
        }
    }
    return result;
}

probe failure_detector::make_probe(instance_id to, std::uint64_t sequence)
{
    return {sequence, find(self_id_)->subject().settings, updates_for(to), joining_};
}

probe_ack failure_detector::make_ack(instance_id to, std::uint64_t sequence, instance_id subject)
{
    return {sequence, subject, find(self_id_)->subject().settings, updates_for(to)};
}

outgoing_messages failure_detector::tick(time_point now)
{
    outgoing_messages out;
    resume_after_pause(now);
    expire_records(now);
    check_pending(now, out);
    if (now >= next_probe_)
    {
        next_probe_ = now + timing_.probe_period;
        probe_next(now, out);
    }
    if (now >= next_dead_probe_)
    {
        next_dead_probe_ = now + dead_probe_period;
        probe_dead_member(out);
    }
    announce_settings(out);
    send_tables(out);
    const bool extend = now >= next_extension_;
    if (extend)
    {
        next_extension_ = now + extension_period;
    }
    refresh_view(now, extend);
    return out;
}

void failure_detector::resume_after_pause(time_point now)
{
    const auto gap = last_tick_ == time_point{} ? duration{} : now - last_tick_;
    last_tick_ = now;
    if (gap <= max_tick_interval)
    {
        return;
    }
    // Acknowledgements and refutations may still be unread, so the time of the pause must not count
    // towards the timeouts of other members.
    for (auto& [id, it] : records_)
    {
        it.postpone(gap - max_tick_interval);
    }
    for (auto& [sequence, it] : pending_)
    {
        it.indirect_at += gap - max_tick_interval;
        it.suspect_at += gap - max_tick_interval;
    }
    if (gap > timing_.suspicion)
    {
        pending_.clear();
        next_probe_ = now;
    }
}

void failure_detector::start_probe(instance_id subject, time_point now, outgoing_messages& out)
{
    const auto sequence = ++sequence_;
    pending_probe entry{subject};
    entry.indirect_at = now + timing_.probe_timeout;
    entry.suspect_at = now + timing_.probe_period;
    pending_.emplace(sequence, entry);
    out.push_back({subject, make_probe(subject, sequence)});
}

void failure_detector::probe_next(time_point now, outgoing_messages& out)
{
    if (const auto subject = next_subject())
    {
        start_probe(*subject, now, out);
    }
}

std::optional<instance_id> failure_detector::next_subject()
{
    const auto eligible = [this](instance_id id)
    {
        const auto* it = find(id);
        return it != nullptr && it->live();
    };
    auto result = schedule_.next(eligible);
    if (!result)
    {
        schedule_.refill(live_peers(), random_);
        result = schedule_.next(eligible);
    }
    return result;
}

std::vector<instance_id> failure_detector::dead_peers() const
{
    std::vector<instance_id> result;
    for (const auto& [id, it] : records_)
    {
        if (it.state() == member_state::dead)
        {
            result.push_back(id);
        }
    }
    return result;
}

void failure_detector::probe_dead_member(outgoing_messages& out)
{
    auto dead = dead_peers();
    const auto members = records_.size();
    if (dead.empty() || random_.below(members) >= dead.size() * probers_of_dead_member)
    {
        return;
    }
    const auto eligible = [this](instance_id id)
    {
        const auto* it = find(id);
        return it != nullptr && it->state() == member_state::dead;
    };
    auto subject = dead_schedule_.next(eligible);
    if (!subject)
    {
        dead_schedule_.refill(std::move(dead), random_);
        subject = dead_schedule_.next(eligible);
    }
    if (subject)
    {
        out.push_back({*subject, make_probe(*subject, ++sequence_)});
    }
}

void failure_detector::check_pending(time_point now, outgoing_messages& out)
{
    for (auto it = pending_.begin(); it != pending_.end();)
    {
        auto& [sequence, entry] = *it;
        if (now >= entry.suspect_at)
        {
            auto* peer = find(entry.subject);
            if (entry.relay_to.empty() && peer != nullptr && peer->suspect(timing_, now))
            {
                records_changed_ = true;
                updates_.put(entry.subject);
            }
            it = pending_.erase(it);
            continue;
        }
        if (!entry.indirect_requested && now >= entry.indirect_at)
        {
            entry.indirect_requested = true;
            if (entry.relay_to.empty())
            {
                out.push_back({entry.subject, make_probe(entry.subject, sequence), true});
            }
            request_indirect_probes(sequence, entry.subject, out);
        }
        ++it;
    }
}

void failure_detector::request_indirect_probes(std::uint64_t sequence,
                                               instance_id subject,
                                               outgoing_messages& out)
{
    auto relays = live_peers();
    std::erase(relays, subject);
    random_.sample(relays, indirect_probes);
    for (const auto to : relays)
    {
        out.push_back({to, probe_request{sequence, subject}});
    }
}

void failure_detector::expire_records(time_point now)
{
    if (now < next_change_)
    {
        return;
    }
    for (auto it = records_.begin(); it != records_.end();)
    {
        auto& [id, record] = *it;
        if (id != self_id_ && record.expire_suspicion(now))
        {
            updates_.put(id);
            records_changed_ = true;
        }
        const bool expired = id != self_id_ && record.expired(now);
        if (expired)
        {
            updates_.erase(id);
            records_changed_ = true;
        }
        it = expired ? records_.erase(it) : std::next(it);
    }
}

void failure_detector::announce_settings(outgoing_messages& out)
{
    if (!std::exchange(announcement_due_, false))
    {
        return;
    }
    auto peers = live_peers();
    random_.sample(peers, announcement_fanout);
    for (const auto to : peers)
    {
        out.push_back({to, make_probe(to, ++sequence_)});
    }
}

void failure_detector::send_tables(outgoing_messages& out)
{
    if (!tables_to_send_)
    {
        return;
    }
    for (auto& [id, it] : records_)
    {
        if (it.table_remaining != 0)
        {
            send_table_part(it, out);
            return;
        }
    }
    tables_to_send_ = false;
}

void failure_detector::send_table_part(peer_record& peer, outgoing_messages& out)
{
    const auto n = std::min({table_records_per_tick, peer.table_remaining, records_.size()});
    auto it = std::next(records_.begin(),
                        static_cast<std::ptrdiff_t>(peer.table_position % records_.size()));
    std::vector<member_update> part;
    for (std::size_t k = 0; k != n; ++k)
    {
        const auto& record = it->second;
        if (record.live() && it->first != peer.subject().id)
        {
            part.push_back(record.to_update(true));
        }
        it = std::next(it) == records_.end() ? records_.begin() : std::next(it);
    }
    peer.table_position += n;
    peer.table_remaining = peer.live() ? peer.table_remaining - n : 0;
    send_updates(peer.subject().id, part, out);
}

void failure_detector::send_updates(instance_id to,
                                    const std::vector<member_update>& batch,
                                    outgoing_messages& out)
{
    const auto& stamp = find(self_id_)->subject().settings;
    for (std::size_t first = 0; first < batch.size(); first += max_updates_per_probe)
    {
        const auto last = std::min(first + max_updates_per_probe, batch.size());
        std::vector<member_update> part(batch.begin() + static_cast<std::ptrdiff_t>(first),
                                        batch.begin() + static_cast<std::ptrdiff_t>(last));
        out.push_back({to, probe_ack{0, self_id_, stamp, std::move(part)}});
    }
}

} // namespace mangovane::internal

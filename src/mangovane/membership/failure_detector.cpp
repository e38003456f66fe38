// Implementation of the failure detector: incoming messages and membership updates.
#include "mangovane/membership/failure_detector.hpp"

#include <algorithm>
#include <utility>

namespace mangovane::internal
{

namespace
{

/// Members to which this instance sends its leave directly.
constexpr std::size_t leave_fanout = 16;

} // namespace

failure_detector::failure_detector(member self, detector_timing timing, std::uint64_t seed)
    : timing_{timing}, self_id_{self.id}, random_{seed}
{
    newest_stamp_ = self.settings;
    records_.emplace(self_id_, peer_record{std::move(self), 0});
    updates_.put(self_id_);
    view_ = std::make_shared<membership_view>(1, time_point{}, view_members(time_point{}));
}

outgoing_messages failure_detector::on_probe(instance_id from, const probe& msg, time_point now)
{
    const bool behind = apply_updates(msg.updates, false, now);
    record_contact(from, msg.settings, behind, now);
    if (msg.joining)
    {
        start_table_transfer(from);
    }
    refresh_view(now, false);
    outgoing_messages out;
    out.push_back({from, make_ack(from, msg.sequence, self_id_)});
    return out;
}

outgoing_messages
failure_detector::on_probe_ack(instance_id from, const probe_ack& msg, time_point now)
{
    if (auto* peer = find(from); peer != nullptr && msg.sequence != 0 && from == msg.subject)
    {
        peer->introduced = true;
    }
    const bool table = msg.sequence == 0 && !msg.updates.empty();
    joining_ = joining_ && !table;
    const bool behind = apply_updates(msg.updates, table, now);
    record_contact(from, msg.settings, behind, now);
    outgoing_messages out;
    complete_probe(msg, out);
    if (behind)
    {
        // The next regular message to this peer may be sent minutes later.
        out.push_back({from, make_ack(from, 0, self_id_)});
    }
    refresh_view(now, false);
    return out;
}

void failure_detector::complete_probe(const probe_ack& msg, outgoing_messages& out)
{
    const auto it = pending_.find(msg.sequence);
    if (it == pending_.end() || it->second.subject != msg.subject)
    {
        return;
    }
    const auto completed = it->second;
    pending_.erase(it);
    if (!completed.relay_to.empty())
    {
        out.push_back({completed.relay_to,
                       make_ack(completed.relay_to, completed.relay_sequence, completed.subject)});
    }
}

void failure_detector::start_table_transfer(instance_id to)
{
    if (auto* peer = find(to); peer != nullptr && peer->table_remaining == 0)
    {
        // A random start, so that the tables sent by several members complement each other.
        peer->table_position = random_.below(records_.size());
        peer->table_remaining = records_.size();
        tables_to_send_ = true;
    }
}

outgoing_messages
failure_detector::on_probe_request(instance_id from, const probe_request& msg, time_point now)
{
    outgoing_messages out;
    if (find(msg.subject) == nullptr || msg.subject == self_id_)
    {
        return out;
    }
    const auto sequence = ++sequence_;
    pending_probe relayed{msg.subject};
    relayed.suspect_at = now + timing_.probe_period;
    relayed.indirect_requested = true;
    relayed.relay_to = from;
    relayed.relay_sequence = msg.sequence;
    pending_.emplace(sequence, relayed);
    out.push_back({msg.subject, make_probe(msg.subject, sequence)});
    return out;
}

void failure_detector::on_platform_list(const std::vector<listed_instance>& list, time_point now)
{
    for (const auto& it : list)
    {
        const auto id = instance_id::of(it.name);
        if (auto* known = find(id); known != nullptr)
        {
            known->set_listed_leaving(it.leaving);
            records_changed_ = true;
        }
        else if (!it.leaving)
        {
            add_listed(id, it.name, it.address, it.domain);
        }
    }
    refresh_view(now, false);
}

void failure_detector::add_listed(instance_id id,
                                  const std::string& name,
                                  const std::string& address,
                                  domain_id domain)
{
    member subject{id};
    subject.name = name;
    subject.address = address;
    subject.domain = domain;
    records_.try_emplace(id, peer_record{std::move(subject), 0});
    records_changed_ = true;
}

outgoing_messages failure_detector::leave(time_point now)
{
    find(self_id_)->set_left(now);
    records_changed_ = true;
    updates_.put(self_id_);
    auto peers = live_peers();
    random_.sample(peers, leave_fanout);
    outgoing_messages out;
    const auto update = find(self_id_)->to_update(false);
    for (const auto to : peers)
    {
        auto msg = make_probe(to, ++sequence_);
        std::erase_if(msg.updates, [&](const auto& it) { return it.instance == self_id_; });
        msg.updates.resize(std::min(msg.updates.size(), max_updates_per_probe - 1));
        msg.updates.push_back(update);
        out.push_back({to, std::move(msg)});
    }
    refresh_view(now, false);
    return out;
}

void failure_detector::set_settings_stamp(settings_stamp stamp)
{
    if (find(self_id_)->merge_settings(stamp))
    {
        stamps_changed_ = true;
        record_settings_stamp(self_id_, stamp);
    }
}

settings_stamp failure_detector::newest_settings_stamp(instance_id& holder) const
{
    const auto* best = &records_.find(self_id_)->second;
    for (const auto& [id, it] : records_)
    {
        const auto& stamp = it.subject().settings;
        const auto& best_stamp = best->subject().settings;
        const bool later =
            best->subject().id != self_id_ && it.last_message_at > best->last_message_at;
        if (it.live() && (stamp.newer_than(best_stamp) || (!best_stamp.newer_than(stamp) && later)))
        {
            best = &it;
        }
    }
    holder = best->subject().id;
    return best->subject().settings;
}

bool failure_detector::apply_updates(const std::vector<member_update>& updates,
                                     bool table,
                                     time_point now)
{
    bool behind = false;
    for (const auto& it : updates)
    {
        if (it.epoch == 0)
        {
            // From a table transfer: the sender has this member only from the platform's list.
            if (!it.address.empty())
            {
                add_listed(it.instance, it.name, it.address, it.domain);
            }
            continue;
        }
        if (it.instance == self_id_)
        {
            behind = apply_update_about_self(it, now) || behind;
        }
        else
        {
            apply_update(it, table, now);
        }
    }
    return behind;
}

void failure_detector::apply_update(const member_update& update, bool table, time_point now)
{
    auto* known = find(update.instance);
    if (known == nullptr)
    {
        add_member(update, table, now);
        return;
    }
    // The other members have this member from the platform's list as well. Sent with the full
    // transmission count, its confirmation would fill all frames for minutes after a start of the
    // whole fleet.
    const bool confirmed = known->unverified() && update.state == member_state::alive;
    const auto effect = known->merge(update, timing_, now);
    const bool is_new = effect == update_effect::changed || effect == update_effect::returned;
    records_changed_ = records_changed_ || is_new;
    stamps_changed_ = stamps_changed_ || effect == update_effect::settings;
    if (is_new && confirmed)
    {
        updates_.put_once(update.instance);
    }
    else if (is_new)
    {
        updates_.put(update.instance);
    }
    record_settings_stamp(update.instance, update.settings);
}

void failure_detector::add_member(const member_update& update, bool table, time_point now)
{
    if (update.address.empty() || update.state == member_state::dead ||
        update.state == member_state::left)
    {
        return;
    }
    peer_record record{member{update.instance}, 0};
    record.merge(update, timing_, now);
    records_.emplace(update.instance, std::move(record));
    records_changed_ = true;
    if (table)
    {
        updates_.put_once(update.instance);
    }
    else
    {
        updates_.put(update.instance);
    }
    record_settings_stamp(update.instance, update.settings);
}

bool failure_detector::apply_update_about_self(const member_update& update, time_point now)
{
    auto& self = *find(self_id_);
    const auto own = self.subject().epoch;
    const bool newer = update.epoch > own;
    const bool wrong =
        update.epoch == own && update.state != member_state::alive &&
        (update.refutations >= self.refutations() || update.state == member_state::left);
    if (self.live() && (newer || wrong))
    {
        self.refute(update, timing_, now);
        records_changed_ = true;
        updates_.put(self_id_);
    }
    return self.live() && update.state != member_state::alive;
}

void failure_detector::record_contact(instance_id from,
                                      settings_stamp settings,
                                      bool behind,
                                      time_point now)
{
    if (auto* peer = find(from); peer != nullptr)
    {
        peer->last_message_at = now;
        peer->introduced = peer->introduced && !behind;
        if (peer->merge_settings(settings))
        {
            stamps_changed_ = true;
            record_settings_stamp(from, settings);
        }
    }
}

void failure_detector::record_settings_stamp(instance_id holder, settings_stamp stamp)
{
    // Gossips only the first holder of a version: an update from each member about each version
    // would exceed the budget for control traffic. The other stamps are sent on their own probes.
    if (stamp.newer_than(newest_stamp_))
    {
        newest_stamp_ = stamp;
        announcement_due_ = true;
        updates_.put(holder);
    }
}

bool failure_detector::can_refute(const peer_record& peer) const
{
    return peer.state() != member_state::alive && peer.subject().epoch != 0;
}

std::vector<member_update> failure_detector::updates_for(instance_id to)
{
    std::vector<member_update> result;
    auto* peer = find(to);
    if (peer != nullptr && can_refute(*peer))
    {
        result.push_back(peer->to_update(false));
    }
    if (peer == nullptr || !peer->introduced)
    {
        result.push_back(find(self_id_)->to_update(true));
    }
    const auto first = result.size();
    const auto ids = updates_.take(max_updates_per_probe - first,
                                   transmissions_for(records_.size()), random_.next());
    for (const auto id : ids)
    {
        const bool present = std::any_of(result.begin(), result.end(),
                                         [&](const auto& it) { return it.instance == id; });
        const auto* record = find(id);
        if (record != nullptr && !present && !record->unverified())
        {
            result.push_back(record->to_update(false));
        }
    }
    return result;
}

} // namespace mangovane::internal

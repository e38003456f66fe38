// Implementation of the endpoint catalog.
#include "mangovane/membership/endpoint_catalog.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mangovane
{

void endpoint_catalog::replace(const std::vector<endpoint_change>& entries,
                               store_revision revision,
                               time_point now)
{
    const std::lock_guard lock{mutex_};
    if (revision < revision_)
    {
        return;
    }
    prepare_for(revision, now);
    absl::flat_hash_set<std::string> listed;
    for (const auto& it : entries)
    {
        apply_change(it, now);
        listed.insert(it.name);
    }
    remove_unlisted(listed, revision, now);
    on_full_list(revision);
}

void endpoint_catalog::apply(const std::vector<endpoint_change>& changes,
                             store_revision revision,
                             time_point now)
{
    const std::lock_guard lock{mutex_};
    if (revision.era < revision_.era)
    {
        return;
    }
    for (const auto& it : changes)
    {
        apply_change(it, now);
    }
    revision_ = std::max(revision_, revision);
}

void endpoint_catalog::prepare_for(store_revision revision, time_point now)
{
    lists_ = {};
    if (revision_.known() && revision.era > revision_.era)
    {
        recovered_at_ = now;
    }
}

bool endpoint_catalog::is_outdated(const entry& held,
                                   store_revision revision,
                                   incarnation epoch,
                                   bool leaving)
{
    if (revision.era <= held.revision.era || revision.number > held.written)
    {
        return false;
    }
    const bool same = epoch == held.info.epoch;
    return epoch < held.info.epoch || (same && (held.removed || (held.info.leaving && !leaving)));
}

void endpoint_catalog::keep(entry& held, store_revision revision)
{
    held.revision = revision;
    ++lists_.kept;
}

time_point
endpoint_catalog::cold_until_of(const endpoint_info& info, milliseconds left, time_point now) const
{
    if (left.count() > 0)
    {
        return now + left;
    }
    const auto found = entries_.find(info.name);
    const bool known = found != entries_.end() && found->second.info.epoch == info.epoch;
    return known ? std::min(found->second.info.cold_until, now) : time_point{};
}

void endpoint_catalog::apply_change(const endpoint_change& change, time_point now)
{
    const auto found = entries_.find(change.name);
    if (found != entries_.end() && change.revision <= found->second.revision)
    {
        return;
    }
    if (change.info && found != entries_.end() &&
        is_outdated(found->second, change.revision, change.info->epoch, change.info->leaving))
    {
        keep(found->second, change.revision);
        return;
    }
    ++lists_.taken;
    if (change.info)
    {
        auto info = *change.info;
        info.cold_until = cold_until_of(info, change.cold_left, now);
        entries_.insert_or_assign(
            change.name,
            entry{std::move(info), change.revision, false, {}, true, change.revision.number});
        changed_ = true;
    }
    else if (found != entries_.end())
    {
        remove(found->second, change.revision, removal_effective_at(now));
    }
    else
    {
        add_tombstone(change.name, change.revision, now);
    }
}

void endpoint_catalog::add_tombstone(const std::string& name,
                                     store_revision revision,
                                     time_point now)
{
    entries_.insert_or_assign(name, entry{{}, revision, true, now, false, 0});
}

void endpoint_catalog::on_full_list(store_revision revision)
{
    if (revision_.known() && revision.era > revision_.era)
    {
        era_change_ = lists_;
        era_change_->before = revision_;
        era_change_->after = revision;
    }
    revision_ = revision;
    tombstones_complete_from_ = revision;
}

void endpoint_catalog::remove(entry& it, store_revision revision, time_point keep_until)
{
    it.revision = std::max(it.revision, revision);
    if (!it.removed)
    {
        it.removed = true;
        it.keep_until = keep_until;
    }
}

void endpoint_catalog::remove_unlisted(const absl::flat_hash_set<std::string>& listed,
                                       store_revision revision,
                                       time_point now)
{
    for (auto& [name, it] : entries_)
    {
        if (!it.removed && it.revision <= revision && !listed.contains(name))
        {
            remove(it, revision, removal_effective_at(now));
            ++lists_.missing;
        }
    }
}

time_point endpoint_catalog::removal_effective_at(time_point now) const
{
    if (registry_was_down(now))
    {
        return now + recovery_grace;
    }
    const bool recent = recovered_at_ != time_point::min() && now < recovered_at_ + recovery_grace;
    return recent ? recovered_at_ + recovery_grace : now;
}

endpoint_row endpoint_catalog::row_of(const std::string& name, const entry& it, time_point now)
{
    endpoint_row result;
    result.name = name;
    result.revision = it.revision;
    result.removed = it.removed;
    result.keep_ms = it.removed ? remaining_ms(it.keep_until, now) : 0;
    if (it.removed && result.keep_ms == 0)
    {
        return result;
    }
    result.service = it.info.service;
    result.domain = it.info.domain;
    result.domain_name = it.info.domain_name;
    result.address = it.info.address;
    result.epoch = it.info.epoch;
    result.cold_ms = remaining_ms(it.info.cold_until, now);
    result.leaving = it.info.leaving;
    result.version = it.info.version;
    result.slots = it.info.slots;
    return result;
}

std::vector<endpoint_update> endpoint_catalog::updates_since(store_revision known_revision,
                                                             time_point now) const
{
    const std::lock_guard lock{mutex_};
    const bool full = !known_revision.known() || known_revision < tombstones_complete_from_;
    std::vector<endpoint_row> rows;
    for (const auto& [name, it] : entries_)
    {
        const bool lapsed = it.removed && now >= it.keep_until;
        if (full ? !lapsed : it.revision > known_revision)
        {
            rows.push_back(row_of(name, it, now));
        }
    }
    const auto parts =
        std::max<std::size_t>(1, (rows.size() + max_update_rows - 1) / max_update_rows);
    std::vector<endpoint_update> result;
    result.reserve(parts);
    for (std::size_t n = 0; n != parts; ++n)
    {
        const auto first = rows.begin() + static_cast<std::ptrdiff_t>(n * max_update_rows);
        const auto count = std::min<std::ptrdiff_t>(max_update_rows, rows.end() - first);
        result.push_back(
            {full ? store_revision{} : known_revision,
             revision_,
             static_cast<std::uint16_t>(n),
             static_cast<std::uint16_t>(parts),
             {std::make_move_iterator(first), std::make_move_iterator(first + count)}});
    }
    return result;
}

void endpoint_catalog::apply_row(const endpoint_row& row, time_point now)
{
    const auto found = entries_.find(row.name);
    if (found != entries_.end() && row.revision <= found->second.revision)
    {
        return;
    }
    if (!row.removed && found != entries_.end() &&
        is_outdated(found->second, row.revision, row.epoch, row.leaving))
    {
        keep(found->second, row.revision);
        return;
    }
    ++lists_.taken;
    const bool still_listed = !row.removed || row.keep_ms != 0;
    if (still_listed)
    {
        endpoint_info info;
        info.id = endpoint_id::of(row.name);
        info.service = row.service;
        info.domain = row.domain;
        info.domain_name = row.domain_name;
        info.name = row.name;
        info.address = row.address;
        info.leaving = row.leaving;
        info.epoch = row.epoch;
        info.version = row.version;
        info.slots = row.slots;
        info.cold_until = cold_until_of(info, milliseconds{row.cold_ms}, now);
        const auto written =
            row.removed && found != entries_.end() ? found->second.written : row.revision.number;
        entries_.insert_or_assign(row.name, entry{std::move(info), row.revision, row.removed,
                                                  deadline_from(row.keep_ms, now), true, written});
        changed_ = true;
    }
    else if (found != entries_.end())
    {
        remove(found->second, row.revision, now);
    }
    else
    {
        add_tombstone(row.name, row.revision, now);
    }
}

bool endpoint_catalog::on_update(const endpoint_update& update, time_point now)
{
    const std::lock_guard lock{mutex_};
    if (update.through <= revision_)
    {
        return true;
    }
    const bool full = !update.since.known();
    if (!full && update.since > revision_)
    {
        return false;
    }
    if (update.part == 0)
    {
        partial_through_ = update.through;
        partial_next_ = 0;
        partial_names_.clear();
        prepare_for(update.through, now);
    }
    if (update.through != partial_through_ || update.part != partial_next_)
    {
        return false;
    }
    ++partial_next_;
    for (const auto& it : update.rows)
    {
        apply_row(it, now);
        partial_names_.insert(it.name);
    }
    if (partial_next_ != update.parts)
    {
        return true;
    }
    if (full)
    {
        remove_unlisted(partial_names_, update.through, now);
        on_full_list(update.through);
    }
    else
    {
        revision_ = update.through;
    }
    partial_names_.clear();
    return true;
}

bool endpoint_catalog::registry_was_down(time_point now) const
{
    const bool peers_connected = last_peer_contact_ != time_point::min() &&
                                 now <= last_peer_contact_ + max_peer_contact_gap &&
                                 now >= peer_contact_since_ + min_peer_contact;
    return outage_since_ && now >= *outage_since_ + min_outage && !peers_connected;
}

void endpoint_catalog::on_peer_contact(time_point now)
{
    const std::lock_guard lock{mutex_};
    if (last_peer_contact_ == time_point::min() || now > last_peer_contact_ + max_peer_contact_gap)
    {
        peer_contact_since_ = now;
    }
    last_peer_contact_ = now;
}

void endpoint_catalog::on_outage(time_point now)
{
    const std::lock_guard lock{mutex_};
    if (!outage_since_)
    {
        outage_since_ = now;
    }
}

void endpoint_catalog::on_contact(time_point now)
{
    const std::lock_guard lock{mutex_};
    if (registry_was_down(now))
    {
        recovered_at_ = now;
    }
    outage_since_.reset();
    last_contact_ = now;
}

void endpoint_catalog::on_polling_stopped()
{
    const std::lock_guard lock{mutex_};
    outage_since_.reset();
}

std::optional<milliseconds> endpoint_catalog::contact_age(time_point now) const
{
    const std::lock_guard lock{mutex_};
    if (!last_contact_ || outage_since_)
    {
        return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(now - *last_contact_);
}

void endpoint_catalog::expire(time_point now)
{
    for (auto it = entries_.begin(); it != entries_.end();)
    {
        auto& entry = it->second;
        const bool lapsed = entry.removed && now >= entry.keep_until;
        changed_ = changed_ || (lapsed && entry.listed);
        entry.listed = !lapsed;
        if (lapsed && now >= entry.keep_until + tombstone_retention)
        {
            tombstones_complete_from_ = std::max(tombstones_complete_from_, entry.revision);
            it = entries_.erase(it);
            continue;
        }
        ++it;
    }
}

endpoints_ptr endpoint_catalog::take_changed(time_point now)
{
    const std::lock_guard lock{mutex_};
    expire(now);
    if (!std::exchange(changed_, false))
    {
        return nullptr;
    }
    std::vector<endpoint_info> list;
    list.reserve(entries_.size());
    for (const auto& [name, it] : entries_)
    {
        if (it.listed)
        {
            list.push_back(it.info);
        }
    }
    return std::make_shared<endpoint_directory>(std::move(list));
}

std::optional<era_change> endpoint_catalog::take_era_change()
{
    const std::lock_guard lock{mutex_};
    return std::exchange(era_change_, std::nullopt);
}

store_revision endpoint_catalog::revision() const
{
    const std::lock_guard lock{mutex_};
    return revision_;
}

std::size_t endpoint_catalog::size() const
{
    const std::lock_guard lock{mutex_};
    return entries_.size();
}

} // namespace mangovane

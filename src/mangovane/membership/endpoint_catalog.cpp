// Implementation of the catalog of endpoints.
#include "mangovane/membership/endpoint_catalog.hpp"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

namespace mangovane
{

void endpoint_catalog::replace(const std::vector<endpoint_change>& entries,
                               std::uint64_t revision,
                               time_point now)
{
    const std::lock_guard lock{mutex_};
    if (revision < revision_)
    {
        return;
    }
    absl::flat_hash_set<std::string> listed;
    for (const auto& it : entries)
    {
        put(it, now);
        listed.insert(it.name);
    }
    for (auto& [name, it] : entries_)
    {
        if (!listed.contains(name))
        {
            remove(it, revision, now);
        }
    }
    revision_ = revision;
}

void endpoint_catalog::apply(const std::vector<endpoint_change>& changes,
                             std::uint64_t revision,
                             time_point now)
{
    const std::lock_guard lock{mutex_};
    for (const auto& it : changes)
    {
        put(it, now);
    }
    revision_ = std::max(revision_, revision);
}

void endpoint_catalog::put(const endpoint_change& change, time_point now)
{
    const auto place = entries_.find(change.name);
    if (place != entries_.end() && change.revision <= place->second.revision)
    {
        return;
    }
    if (!change.info)
    {
        if (place != entries_.end())
        {
            remove(place->second, change.revision, now);
        }
        return;
    }
    auto info = *change.info;
    info.cold_until = change.cold_left.count() > 0 ? now + change.cold_left : time_point{};
    entries_.insert_or_assign(change.name, entry{std::move(info), change.revision, false, {}});
    changed_ = true;
}

void endpoint_catalog::remove(entry& it, std::uint64_t revision, time_point now)
{
    if (it.removed)
    {
        return;
    }
    it.removed = true;
    it.revision = std::max(it.revision, revision);
    it.keep_until = settled_at(now);
    changed_ = true;
}

time_point endpoint_catalog::settled_at(time_point now) const
{
    if (outage_since_)
    {
        return now + return_grace;
    }
    const bool recent = returned_at_ != time_point::min() && now < returned_at_ + return_grace;
    return recent ? returned_at_ + return_grace : now;
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
    if (outage_since_ && now >= *outage_since_ + shortest_outage)
    {
        returned_at_ = now;
    }
    outage_since_.reset();
}

endpoints_ptr endpoint_catalog::take_changed(time_point now)
{
    const std::lock_guard lock{mutex_};
    const auto due = [&](const auto& it)
    { return it.second.removed && now >= it.second.keep_until; };
    changed_ = absl::erase_if(entries_, due) != 0 || changed_;
    if (!std::exchange(changed_, false))
    {
        return nullptr;
    }
    std::vector<endpoint_info> list;
    list.reserve(entries_.size());
    for (const auto& [name, it] : entries_)
    {
        list.push_back(it.info);
    }
    return std::make_shared<endpoint_directory>(std::move(list));
}

std::uint64_t endpoint_catalog::revision() const
{
    const std::lock_guard lock{mutex_};
    return revision_;
}

} // namespace mangovane

// Implementation of the slot table.
#include "mangovane/ledger/slot_table.hpp"

#include <algorithm>
#include <utility>

#include <absl/container/flat_hash_set.h>

namespace mangovane
{

void slot_table::grant(const slot_request& msg, instance_id holder, time_point now)
{
    slots_.emplace(msg.attempt, leased_slot{holder, now, now + slot_lease_time, msg.deadline});
}

std::optional<leased_slot>
slot_table::release(const attempt_id& attempt, instance_id holder, time_point now)
{
    const auto it = slots_.find(attempt);
    if (it == slots_.end())
    {
        ended_.emplace(attempt, now + ended_attempt_ttl);
        return std::nullopt;
    }
    if (it->second.holder != holder)
    {
        return std::nullopt;
    }
    const auto result = it->second;
    slots_.erase(it);
    ended_.emplace(attempt,
                   std::clamp(result.deadline, now + slot_lease_time, now + ended_attempt_ttl));
    return result;
}

slot_table::renewal_result
slot_table::renew(instance_id holder, const std::vector<held_slot>& listed, time_point now)
{
    absl::flat_hash_set<attempt_id> listed_attempts;
    renewal_result result;
    for (const auto& entry : listed)
    {
        if (ended(entry.attempt))
        {
            continue;
        }
        listed_attempts.insert(entry.attempt);
        const auto [it, added] = slots_.try_emplace(entry.attempt);
        if (added)
        {
            it->second.granted_at = now;
            it->second.adopted = true;
            ++result.adopted;
        }
        result.answered += entry.answered && !it->second.answered && !added ? 1U : 0U;
        it->second.answered = entry.answered;
        it->second.holder = holder;
        it->second.lease_until = now + slot_lease_time;
        it->second.deadline = entry.deadline;
        it->second.listed = true;
        it->second.orphaned = false;
    }
    absl::erase_if(slots_,
                   [&](const auto& it)
                   {
                       const auto& slot = it.second;
                       const bool expected = slot.listed || slot.granted_at + grant_grace <= now;
                       return slot.holder == holder && expected &&
                              !listed_attempts.contains(it.first);
                   });
    return result;
}

void slot_table::expire(time_point now)
{
    for (auto& [attempt, slot] : slots_)
    {
        slot.orphaned = slot.orphaned || slot.lease_until <= now;
    }
    absl::erase_if(slots_, [now](const auto& it)
                   { return it.second.orphaned && it.second.deadline <= now; });
    absl::erase_if(ended_, [now](const auto& it) { return it.second <= now; });
}

void slot_table::on_report(std::uint32_t in_flight, time_point sampled_at)
{
    std::vector<std::pair<time_point, attempt_id>> orphans;
    std::size_t visible = 0;
    for (const auto& [attempt, slot] : slots_)
    {
        if (slot.orphaned && slot.lease_until < sampled_at)
        {
            orphans.emplace_back(slot.lease_until, attempt);
        }
        // The request of a slot granted just before the sample may not have reached the endpoint
        // yet.
        visible += !slot.orphaned && slot.granted_at + grant_grace <= sampled_at ? 1 : 0;
    }
    visible += orphans.size();
    if (in_flight >= visible)
    {
        return;
    }
    std::sort(orphans.begin(), orphans.end());
    orphans.resize(std::min(orphans.size(), visible - in_flight));
    for (const auto& it : orphans)
    {
        slots_.erase(it.second);
    }
}

std::uint32_t slot_table::orphaned() const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(
        slots_.begin(), slots_.end(), [](const auto& it) { return it.second.orphaned; }));
}

} // namespace mangovane

// Implementation of the allowed versions of a service.
#include "mangovane/rollout/service_versions.hpp"

#include <algorithm>

namespace mangovane
{

void service_versions::observe(const version_counts& listed, time_point now)
{
    const bool first = entries_.empty();
    for (const auto& [version, count] : listed)
    {
        entries_.try_emplace(version, entry{version_standing::held, now});
    }
    // A held version that disappears is held again when it returns.
    absl::erase_if(
        entries_, [&](const auto& it)
        { return it.second.standing == version_standing::held && !listed.contains(it.first); });
    const auto most =
        std::max_element(listed.begin(), listed.end(),
                         [](const auto& lhs, const auto& rhs) { return lhs.second < rhs.second; });
    if (first && most != listed.end())
    {
        entries_[most->first].standing = version_standing::allowed;
    }
}

void service_versions::release_held(time_point now)
{
    for (auto& [version, it] : entries_)
    {
        const bool due = it.standing == version_standing::held && now >= it.since + hold_time;
        it.standing = due ? version_standing::allowed : it.standing;
    }
}

void service_versions::on_ordered(const std::string& version)
{
    if (!with_standing(version_standing::allowed, &version).empty())
    {
        return;
    }
    for (auto& [other, it] : entries_)
    {
        const bool listed_before = other != version && it.standing == version_standing::held;
        it.standing = listed_before ? version_standing::allowed : it.standing;
    }
}

void service_versions::on_done(const std::string& version)
{
    for (auto& [other, it] : entries_)
    {
        it.standing = version_standing::barred;
    }
    entries_[version].standing = version_standing::allowed;
}

void service_versions::on_withdrawn(const std::string& version)
{
    entries_[version].standing = version_standing::barred;
}

bool service_versions::is_only_one(const std::string& version) const
{
    const auto allowed = with_standing(version_standing::allowed);
    return allowed.size() == 1 && allowed.front() == version &&
           with_standing(version_standing::held).empty();
}

std::vector<std::string> service_versions::with_standing(version_standing standing,
                                                         const std::string* except) const
{
    std::vector<std::string> result;
    for (const auto& [version, it] : entries_)
    {
        if (it.standing == standing && (except == nullptr || version != *except))
        {
            result.push_back(version);
        }
    }
    return result;
}

} // namespace mangovane

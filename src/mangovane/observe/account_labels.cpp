// Implementation of the account labels.
#include "mangovane/observe/account_labels.hpp"

#include <algorithm>
#include <utility>

namespace mangovane
{

bool account_labels::count(account_id account, const std::string& name)
{
    const auto it = labelled_.find(account);
    if (it != labelled_.end())
    {
        ++it->second.requests;
        return true;
    }
    if (labelled_.size() < capacity_)
    {
        labelled_.emplace(account, usage{name, 1});
        return true;
    }
    const auto other = unlabelled_.find(account);
    if (other != unlabelled_.end())
    {
        ++other->second.requests;
    }
    else if (unlabelled_.size() < capacity_)
    {
        unlabelled_.emplace(account, usage{name, 1});
    }
    return false;
}

std::vector<account_id> account_labels::rotate()
{
    using row = std::pair<std::uint64_t, account_id>;
    std::vector<row> quiet;
    std::vector<row> busy;
    for (const auto& [id, it] : labelled_)
    {
        quiet.emplace_back(it.requests, id);
    }
    for (const auto& [id, it] : unlabelled_)
    {
        busy.emplace_back(it.requests, id);
    }
    std::sort(quiet.begin(), quiet.end());
    std::sort(busy.rbegin(), busy.rend());
    std::vector<account_id> lost;
    for (std::size_t n = 0; n != std::min(quiet.size(), busy.size()); ++n)
    {
        if (busy[n].first <= quiet[n].first)
        {
            break;
        }
        lost.push_back(quiet[n].second);
        labelled_.erase(quiet[n].second);
        labelled_.emplace(busy[n].second, std::move(unlabelled_.at(busy[n].second)));
    }
    unlabelled_.clear();
    for (auto& [id, it] : labelled_)
    {
        it.requests = 0;
    }
    return lost;
}

const std::string& account_labels::name_of(account_id account) const
{
    static const std::string none;
    const auto it = labelled_.find(account);
    return it == labelled_.end() ? none : it->second.name;
}

} // namespace mangovane

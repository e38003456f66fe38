// Implementation of the membership view.
#include "mangovane/membership/view.hpp"

#include <algorithm>
#include <utility>

namespace mangovane
{

membership_view::membership_view(std::uint64_t version,
                                 time_point valid_until,
                                 std::vector<member> members)
    : version_{version}, valid_until_{valid_until}, members_{std::move(members)}
{
    std::sort(members_.begin(), members_.end(),
              [](const member& lhs, const member& rhs) { return lhs.id < rhs.id; });
    for (const auto& it : members_)
    {
        if (!it.eligible)
        {
            continue;
        }
        eligible_.push_back(it.id.value());
        auto at = std::lower_bound(domains_.begin(), domains_.end(), it.domain,
                                   [](const domain_members& lhs, domain_id rhs)
                                   { return lhs.domain < rhs; });
        if (at == domains_.end() || at->domain != it.domain)
        {
            at = domains_.insert(at, domain_members{it.domain, {}});
        }
        at->ids.push_back(it.id.value());
    }
}

const member* membership_view::find(instance_id id) const noexcept
{
    const auto it =
        std::lower_bound(members_.begin(), members_.end(), id,
                         [](const member& lhs, instance_id rhs) { return lhs.id < rhs; });
    return it == members_.end() || it->id != id ? nullptr : &*it;
}

const std::vector<std::uint64_t>& membership_view::eligible_in(domain_id domain) const noexcept
{
    static const std::vector<std::uint64_t> none;
    const auto it =
        std::lower_bound(domains_.begin(), domains_.end(), domain,
                         [](const domain_members& lhs, domain_id rhs) { return lhs.domain < rhs; });
    return it == domains_.end() || it->domain != domain ? none : it->ids;
}

std::optional<instance_id> membership_view::endpoint_owner(endpoint_id endpoint,
                                                           domain_id domain) const noexcept
{
    const auto& ids = eligible_in(domain);
    if (ids.empty())
    {
        return key_owner(endpoint.value());
    }
    return instance_id{ids[rendezvous_owner(endpoint.value(), ids)]};
}

std::optional<instance_id> membership_view::key_owner(std::uint64_t key) const noexcept
{
    if (eligible_.empty())
    {
        return std::nullopt;
    }
    return instance_id{eligible_[rendezvous_owner(key, eligible_)]};
}

std::vector<instance_id> membership_view::key_owners(std::uint64_t key, std::size_t count) const
{
    std::vector<instance_id> result;
    for (const auto n : rendezvous_order(key, eligible_, count))
    {
        result.emplace_back(eligible_[n]);
    }
    return result;
}

std::optional<std::size_t> membership_view::rank_of(std::uint64_t key, instance_id id) const
{
    const auto own = rendezvous_score(key, id.value());
    std::size_t rank = 0;
    bool present = false;
    for (const auto node : eligible_)
    {
        present = present || node == id.value();
        rank += rendezvous_score(key, node) > own ? 1U : 0U;
    }
    return present ? std::optional{rank} : std::nullopt;
}

} // namespace mangovane

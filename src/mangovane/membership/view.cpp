// Implementation of the membership view.
#include "mangovane/membership/view.hpp"

#include <algorithm>
#include <utility>

namespace mangovane
{

membership_view::membership_view(std::uint64_t version,
                                 time_point valid_until,
                                 std::vector<member> members)
    : version_{version}, valid_until_{valid_until}, content_{std::make_shared<const content>(
                                                        content_of(std::move(members)))}
{}

membership_view::content membership_view::content_of(std::vector<member> members)
{
    content result;
    const auto in_order = [](const member& lhs, const member& rhs) { return lhs.id < rhs.id; };
    std::sort(members.begin(), members.end(), in_order);
    for (const auto& it : members)
    {
        if (!it.eligible)
        {
            continue;
        }
        result.eligible.push_back(it.id.value());
        auto at = std::lower_bound(result.domains.begin(), result.domains.end(), it.domain,
                                   [](const domain_members& lhs, domain_id rhs)
                                   { return lhs.domain < rhs; });
        if (at == result.domains.end() || at->domain != it.domain)
        {
            at = result.domains.insert(at, domain_members{it.domain, {}});
        }
        at->ids.push_back(it.id.value());
    }
    result.members = std::move(members);
    return result;
}

membership_view membership_view::with_validity(time_point valid_until) const
{
    auto result = *this;
    result.valid_until_ = valid_until;
    return result;
}

bool membership_view::operator==(const membership_view& other) const
{
    return version_ == other.version_ && valid_until_ == other.valid_until_ &&
           *content_ == *other.content_;
}

const member* membership_view::find(instance_id id) const noexcept
{
    const auto it =
        std::lower_bound(content_->members.begin(), content_->members.end(), id,
                         [](const member& lhs, instance_id rhs) { return lhs.id < rhs; });
    return it == content_->members.end() || it->id != id ? nullptr : &*it;
}

const std::vector<std::uint64_t>& membership_view::eligible_in(domain_id domain) const noexcept
{
    static const std::vector<std::uint64_t> none;
    const auto it =
        std::lower_bound(content_->domains.begin(), content_->domains.end(), domain,
                         [](const domain_members& lhs, domain_id rhs) { return lhs.domain < rhs; });
    return it == content_->domains.end() || it->domain != domain ? none : it->ids;
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
    if (content_->eligible.empty())
    {
        return std::nullopt;
    }
    return instance_id{content_->eligible[rendezvous_owner(key, content_->eligible)]};
}

std::vector<instance_id> membership_view::key_owners(std::uint64_t key, std::size_t count) const
{
    std::vector<instance_id> result;
    for (const auto n : rendezvous_order(key, content_->eligible, count))
    {
        result.emplace_back(content_->eligible[n]);
    }
    return result;
}

std::optional<std::size_t> membership_view::rank_of(std::uint64_t key, instance_id id) const
{
    const auto own = rendezvous_score(key, id.value());
    std::size_t rank = 0;
    bool present = false;
    for (const auto node : content_->eligible)
    {
        present = present || node == id.value();
        rank += rendezvous_score(key, node) > own ? 1U : 0U;
    }
    return present ? std::optional{rank} : std::nullopt;
}

} // namespace mangovane

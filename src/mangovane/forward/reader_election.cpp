// Implementation of the reader election.
#include "mangovane/forward/reader_election.hpp"

#include <algorithm>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

namespace
{

/// Arbitrary key (ASCII "watch"); all instances must use the same one.
constexpr std::uint64_t election_key = 0x7761746368ULL;

std::vector<std::uint64_t> domains_of(const membership_view& view)
{
    std::vector<std::uint64_t> result;
    for (const auto& it : view.members())
    {
        if (!it.domain.empty() &&
            std::find(result.begin(), result.end(), it.domain.value()) == result.end())
        {
            result.push_back(it.domain.value());
        }
    }
    return result;
}

} // namespace

std::optional<std::size_t>
reader_election::rank_in(const membership_view& view, domain_id domain, instance_id id)
{
    const auto& ids = view.eligible_in(domain);
    if (std::find(ids.begin(), ids.end(), id.value()) == ids.end())
    {
        return std::nullopt;
    }
    const auto own = rendezvous_score(election_key, id.value());
    return static_cast<std::size_t>(
        std::count_if(ids.begin(), ids.end(),
                      [&](std::uint64_t it) { return rendezvous_score(election_key, it) > own; }));
}

void reader_election::on_state(instance_id from,
                               const feed_state& state,
                               const membership_view& view,
                               time_point now)
{
    const auto* sender = view.find(from);
    if (sender == nullptr || sender->domain != domain_ ||
        rendezvous_score(election_key, from.value()) <
            rendezvous_score(election_key, self_.value()))
    {
        return;
    }
    const std::lock_guard lock{mutex_};
    last_state_at_ = now;
    if (milliseconds{state.age_ms} <= max_fresh_age)
    {
        last_fresh_at_ = now;
    }
}

bool reader_election::should_read(const membership_view& view, time_point now) const
{
    const auto rank = rank_in(view, domain_, self_);
    if (!rank || *rank == 0)
    {
        return true;
    }
    const auto delay = rank_delay * static_cast<int>(std::min(*rank, max_delay_rank));
    const std::lock_guard lock{mutex_};
    return now > last_state_at_ + silence_timeout + delay ||
           (*rank <= outage_reader_ranks && now > last_fresh_at_ + stale_timeout + delay);
}

std::vector<instance_id> reader_election::recipients(const membership_view& view) const
{
    std::vector<instance_id> result;
    for (const auto& it : view.members())
    {
        if (it.domain == domain_ && it.id != self_ &&
            (it.state == member_state::alive || it.state == member_state::suspect))
        {
            result.push_back(it.id);
        }
    }
    for (const auto domain : domains_of(view))
    {
        const auto& ids = view.eligible_in(domain_id{domain});
        const auto first = rendezvous_owner(election_key, ids);
        if (domain_id{domain} != domain_ && first != ids.size())
        {
            result.push_back(instance_id{ids[first]});
        }
    }
    return result;
}

} // namespace mangovane

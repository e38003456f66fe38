// Implementation of the limit service.
#include "mangovane/routing/limit_service.hpp"

namespace mangovane
{

namespace
{

bool is_limited(const limit_rule& rule)
{
    return rule.rate_per_s > 0 || rule.concurrency > 0;
}

} // namespace

limit_service::limit_service(instance_state& state) : state_{state} {}

std::optional<instance_id> limit_service::owner_of(node_id node) const
{
    return state_.view()->key_owner(node.value());
}

std::optional<limit_rule> limit_service::find_rule(node_id node) const
{
    const auto settings = state_.settings().current();
    if (!settings)
    {
        return std::nullopt;
    }
    const auto it = settings->limits.find(node);
    return it == settings->limits.end() ? std::nullopt : std::optional{it->second};
}

bool limit_service::try_acquire(const std::vector<limit_rule>& rules, time_point now)
{
    for (std::size_t n = 0; n != rules.size(); ++n)
    {
        const auto& rule = rules[n];
        if (!is_limited(rule))
        {
            continue;
        }
        const bool acquired = leases_.with_entry(rule.node,
                                                 [&](lease_entry& it)
                                                 {
                                                     it.rule = rule;
                                                     return it.lease.try_acquire(rule, now);
                                                 });
        if (!acquired)
        {
            release({rules.begin(), rules.begin() + static_cast<std::ptrdiff_t>(n)});
            return false;
        }
    }
    return true;
}

void limit_service::release(const std::vector<limit_rule>& rules)
{
    for (const auto& rule : rules)
    {
        if (is_limited(rule))
        {
            leases_.with_entry(rule.node, [](lease_entry& it) { it.lease.release(); });
        }
    }
}

bool limit_service::try_acquire_local_share(const std::vector<limit_rule>& rules, time_point now)
{
    const auto view = state_.view();
    for (const auto& rule : rules)
    {
        const auto rank = view->rank_of(rule.node.value(), state_.self().id);
        if (!is_limited(rule) || !rank)
        {
            continue;
        }
        leases_.with_entry(rule.node,
                           [&](lease_entry& it)
                           {
                               if (it.unanswered_requests > 0)
                               {
                                   it.lease.use_local_share(rule, *rank, view->eligible_count(),
                                                            now);
                               }
                           });
    }
    return try_acquire(rules, now);
}

outgoing_messages limit_service::request_leases(const std::vector<limit_rule>& rules,
                                                time_point now)
{
    outgoing_messages result;
    for (const auto& rule : rules)
    {
        const auto owner = owner_of(rule.node);
        if (!is_limited(rule) || !owner)
        {
            continue;
        }
        leases_.with_entry(rule.node,
                           [&](lease_entry& it)
                           {
                               const auto wanted = it.lease.next_request(rule, now);
                               if (wanted)
                               {
                                   it.requested_at = now;
                                   ++it.unanswered_requests;
                                   result.push_back({*owner, *wanted});
                               }
                           });
    }
    return result;
}

outgoing_messages limit_service::on(instance_id from, const limit_request& msg, time_point now)
{
    const auto rule = find_rule(msg.node);
    if (!rule)
    {
        return {};
    }
    return {
        {from, ledgers_.with_entry(
                   msg.node, [&](limit_ledger& it) { return it.request(from, msg, *rule, now); },
                   state_.owners_unchanged_since())}};
}

outgoing_messages limit_service::on(instance_id, const limit_grant& msg, time_point)
{
    leases_.find(msg.node,
                 [&](lease_entry& it)
                 {
                     it.unanswered_requests = 0;
                     it.lease.on_grant(msg, it.requested_at);
                 });
    return {};
}

outgoing_messages limit_service::tick(time_point now)
{
    ledgers_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [node, it] : entries)
            {
                it.expire(now);
            }
        });
    std::vector<limit_rule> in_use;
    leases_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [node, it] : entries)
            {
                if (it.lease.running() != 0)
                {
                    in_use.push_back(it.rule);
                }
            }
        });
    return request_leases(in_use, now);
}

} // namespace mangovane

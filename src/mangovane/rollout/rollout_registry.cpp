// Implementation of the registry of rollouts.
#include "mangovane/rollout/rollout_registry.hpp"

#include <algorithm>
#include <utility>

namespace mangovane
{

void rollout_registry::set_orders(const std::vector<rollout_order>& orders, time_point now)
{
    if (!enabled())
    {
        return;
    }
    services_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [service, it] : entries)
            {
                const bool kept = std::any_of(orders.begin(), orders.end(),
                                              [id = service](const rollout_order& order)
                                              { return order.service == id; });
                if (!kept)
                {
                    remove_order(it);
                }
            }
        });
    for (const auto& order : orders)
    {
        services_.with_entry(order.service, [&](service_entry& it) { set_order(it, order, now); });
    }
}

void rollout_registry::remove_order(service_entry& entry)
{
    if (entry.current && entry.current->state.state() == rollout_state::running)
    {
        entry.versions.on_withdrawn(entry.current->state.order().version);
    }
    entry.current.reset();
}

void rollout_registry::set_order(service_entry& entry, const rollout_order& order, time_point now)
{
    if (entry.current && (entry.current->state.order().revision >= order.revision ||
                          is_same_order(entry.current->state.order(), order)))
    {
        return;
    }
    remove_order(entry);
    const bool in_force = entry.versions.is_only_one(order.version);
    entry.versions.on_ordered(order.version);
    entry.current.emplace(
        running_rollout{rollout{order, policy_, now}, false, time_point::max(), {now, now}});
    // Requests that were sent before the order count as well.
    for (const auto& [version, count] : entry.attempts)
    {
        for (std::uint32_t n = 0; n != count; ++n)
        {
            entry.current->state.on_started(side_of(entry.current->state, version));
        }
    }
    if (in_force)
    {
        apply(entry, entry.current->state.complete_in_force(), now);
    }
}

void rollout_registry::apply(service_entry& entry,
                             const std::optional<rollout_event>& event,
                             time_point now)
{
    if (!event)
    {
        return;
    }
    auto& current = *entry.current;
    const auto& order = current.state.order();
    if (event->state != rollout_state::running)
    {
        current.report_until = now + report_after_end;
        current.due = {now, now};
        current.completable = false;
        event->state == rollout_state::done ? entry.versions.on_done(order.version)
                                            : entry.versions.on_withdrawn(order.version);
    }
    const std::lock_guard lock{log_mutex_};
    if (log_.size() < max_log_entries)
    {
        log_.push_back({order, *event});
    }
}

void rollout_registry::observe(service_id service, const version_counts& listed, time_point now)
{
    if (!enabled())
    {
        return;
    }
    services_.with_entry(service,
                         [&](service_entry& it)
                         {
                             it.versions.observe(listed, now);
                             if (it.current && it.current->state.state() == rollout_state::running)
                             {
                                 it.versions.on_ordered(it.current->state.order().version);
                             }
                         });
}

version_choice
rollout_registry::choose(service_id service, std::uint64_t key, bool repeated, time_point now)
{
    version_choice result;
    const auto visitor = [&](service_entry& it) { result = choose_for(it, key, repeated, now); };
    if (!enabled() || !services_.find(service, visitor))
    {
        result.push_back({true, {}});
    }
    return result;
}

version_choice
rollout_registry::preview(service_id service, std::uint64_t key, bool repeated, time_point now)
{
    version_choice result;
    const auto visitor = [&](const service_entry& it)
    {
        auto copy = it;
        result = choose_for(copy, key, repeated, now);
    };
    if (!enabled() || !services_.find(service, visitor))
    {
        result.push_back({true, {}});
    }
    return result;
}

version_choice
rollout_registry::choose_for(service_entry& entry, std::uint64_t key, bool repeated, time_point now)
{
    if (entry.current && entry.current->state.state() == rollout_state::running)
    {
        return choose_in_rollout(entry, key, repeated);
    }
    entry.versions.release_held(now);
    version_choice result;
    result.push_back({false, entry.versions.with_standing(version_standing::allowed)});
    auto held = entry.versions.with_standing(version_standing::held);
    if (!held.empty())
    {
        result.push_back({false, std::move(held)});
    }
    return result;
}

version_choice
rollout_registry::choose_in_rollout(service_entry& entry, std::uint64_t key, bool repeated)
{
    auto& state = entry.current->state;
    const auto& order = state.order();
    const auto side = state.choose_side(key, repeated);
    auto others = entry.versions.with_standing(version_standing::allowed, &order.version);
    const version_set current{false, std::move(others)};
    const version_set ordered{false, {order.version}};
    if (side == version_side::ordered)
    {
        return {ordered, current};
    }
    // An instance that starts after the end of a rollout may see no version but the ordered one.
    return {current.versions.empty() ? ordered : current};
}

version_side rollout_registry::side_of(const rollout& state, const std::string& version)
{
    return version == state.order().version ? version_side::ordered : version_side::current;
}

void rollout_registry::on_started(const version_attempt& attempt)
{
    if (!enabled())
    {
        return;
    }
    services_.with_entry(attempt.service,
                         [&](service_entry& it)
                         {
                             ++it.attempts[attempt.version];
                             if (it.current)
                             {
                                 auto& state = it.current->state;
                                 state.on_started(side_of(state, attempt.version));
                             }
                         });
}

void rollout_registry::on_ended(const version_attempt& attempt)
{
    services_.find(attempt.service,
                   [&](service_entry& it)
                   {
                       const auto found = it.attempts.find(attempt.version);
                       if (found == it.attempts.end())
                       {
                           return;
                       }
                       if (--found->second == 0)
                       {
                           it.attempts.erase(found);
                       }
                       if (it.current)
                       {
                           auto& state = it.current->state;
                           state.on_ended(side_of(state, attempt.version));
                       }
                   });
}

void rollout_registry::on_response(const version_attempt& attempt, const version_response& response)
{
    services_.find(attempt.service,
                   [&](service_entry& it)
                   {
                       if (it.current && it.current->state.state() == rollout_state::running)
                       {
                           auto& state = it.current->state;
                           state.on_response(attempt.route, side_of(state, attempt.version),
                                             response.failed, response.first_byte,
                                             attempt.endpoint);
                       }
                   });
}

void rollout_registry::on_report(instance_id from, const rollout_report& report, time_point now)
{
    if (!enabled())
    {
        return;
    }
    services_.find(report.service,
                   [&](service_entry& it)
                   {
                       if (!it.current ||
                           !is_same_write(it.current->state.order().revision, report.order))
                       {
                           return;
                       }
                       apply(it, it.current->state.on_report(from, report, now), now);
                       const bool missed = report.state == rollout_state::running &&
                                           it.current->state.state() != rollout_state::running;
                       if (missed)
                       {
                           it.current->report_until = now + report_after_end;
                       }
                   });
}

void rollout_registry::on_stored(service_id service,
                                 store_revision order,
                                 rollout_state state,
                                 time_point deadline,
                                 time_point now)
{
    services_.find(service,
                   [&](service_entry& it)
                   {
                       if (it.current && it.current->state.order().revision == order)
                       {
                           apply(it, it.current->state.on_stored(state, deadline), now);
                       }
                   });
}

std::vector<rollout_order> rollout_registry::running()
{
    std::vector<rollout_order> result;
    if (!enabled())
    {
        return result;
    }
    services_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [service, it] : entries)
            {
                if (it.current && it.current->state.state() == rollout_state::running)
                {
                    result.push_back(it.current->state.order());
                }
            }
        });
    return result;
}

void rollout_registry::tick(service_id service, const rollout_surroundings& around, time_point now)
{
    services_.find(service,
                   [&](service_entry& it)
                   {
                       if (!it.current)
                       {
                           return;
                       }
                       apply(it, it.current->state.tick(around, now), now);
                       it.current->completable = it.current->state.can_complete(around, now);
                   });
}

std::vector<rollout_report> rollout_registry::take_due_reports(bool same_domain, time_point now)
{
    std::vector<rollout_report> result;
    if (!enabled())
    {
        return result;
    }
    const auto period =
        same_domain ? policy_.local_report_period() : policy_.remote_report_period();
    services_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [service, it] : entries)
            {
                if (!it.current || now >= it.current->report_until)
                {
                    continue;
                }
                auto& due = it.current->due[same_domain ? 1 : 0];
                if (now >= due)
                {
                    due = now + period;
                    result.push_back(it.current->state.report());
                }
            }
        });
    return result;
}

std::vector<rollout_log_entry> rollout_registry::take_log()
{
    const std::lock_guard lock{log_mutex_};
    return std::exchange(log_, {});
}

std::vector<rollout_summary> rollout_registry::summaries()
{
    std::vector<rollout_summary> result;
    services_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [service, it] : entries)
            {
                if (it.current)
                {
                    const auto& state = it.current->state;
                    const auto& evidence = state.evidence();
                    result.push_back({state.order(), state.state(), state.share(), state.deadline(),
                                      it.current->completable, evidence.sums(),
                                      evidence.counts(version_side::current),
                                      evidence.counts(version_side::ordered)});
                }
            }
        });
    return result;
}

} // namespace mangovane

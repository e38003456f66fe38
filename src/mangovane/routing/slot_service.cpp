// Implementation of the slot service.
#include "mangovane/routing/slot_service.hpp"

#include <utility>

namespace mangovane
{

namespace
{

void append(outgoing_messages& to, outgoing_messages from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

/// Whether an endpoint counts for the mean. One whose new owner is still rebuilding its ledger
/// does: it will accept work again shortly, and the bound of the others must not rise meanwhile.
bool is_ready(const std::optional<slot_refusal_reason>& closed)
{
    return !closed || *closed == slot_refusal_reason::rebuilding;
}

/// Maximum wait of a new owner for the first poll of an endpoint.
constexpr milliseconds max_first_poll_wait{1000};

/// Key that determines the summary owner of a service; the constant separates it from other keys of
/// the same name.
std::uint64_t summary_key(service_id service)
{
    return hash_combine(service.value(), 0x4c4f4144ULL);
}

} // namespace

slot_service::slot_service(instance_state& state) : state_{state} {}

std::optional<slot_refusal_reason> slot_service::closed(const owned_endpoint& entry,
                                                        const routing_table& routes,
                                                        endpoint_id endpoint,
                                                        time_point now) const
{
    if (entry.reports_leaving)
    {
        return slot_refusal_reason::leaving;
    }
    // Only the first poll shows a new owner whether the endpoint is leaving.
    const bool unknown = !entry.polled && now < entry.owned_since + max_first_poll_wait;
    if (unknown || state_.fence().closed(now))
    {
        return slot_refusal_reason::rebuilding;
    }
    if (entry.health.ejected(now))
    {
        return slot_refusal_reason::failing;
    }
    return routes.closed(endpoint);
}

template <class Action>
bool slot_service::with_owned(endpoint_id endpoint, time_point now, Action&& action)
{
    const auto routes = state_.routes();
    const auto view = state_.view();
    const auto* info = routes->find(endpoint);
    if (info == nullptr)
    {
        return false;
    }
    const auto* policy = routes->settings().find_service(info->service);
    if (policy == nullptr || view->endpoint_owner(endpoint, info->domain) != state_.self().id)
    {
        return false;
    }
    const auto load = load_of(info->service, now);
    return ledgers_.find(
        endpoint,
        [&](owned_endpoint& entry)
        {
            // Replace the endpoint's part of the load by its exact value.
            auto exact = load;
            exact.total_in_flight -= std::min(entry.counted_in_flight, exact.total_in_flight);
            exact.total_in_flight += entry.ledger.in_flight();
            const ledger_context ctx{*policy, *view, exact, closed(entry, *routes, endpoint, now)};
            action(entry, ctx);
        });
}

outgoing_messages slot_service::on(instance_id from, const slot_request& msg, time_point now)
{
    outgoing_messages result;
    const bool owned = with_owned(msg.endpoint, now,
                                  [&](owned_endpoint& it, const ledger_context& ctx)
                                  { result = it.ledger.request(from, msg, ctx, now); });
    if (!owned)
    {
        result.push_back(
            {from, slot_refusal{msg.attempt, msg.endpoint, slot_refusal_reason::not_owner, 0, 0}});
    }
    return result;
}

outgoing_messages slot_service::on(instance_id from, const slot_release& msg, time_point now)
{
    outgoing_messages result;
    with_owned(msg.endpoint, now,
               [&](owned_endpoint& it, const ledger_context& ctx)
               { result = it.ledger.release(from, msg, ctx, now); });
    return result;
}

outgoing_messages slot_service::on(instance_id from, const slot_renewal& msg, time_point now)
{
    outgoing_messages result;
    with_owned(msg.endpoint, now,
               [&](owned_endpoint& it, const ledger_context& ctx)
               { result = it.ledger.renew(from, msg, ctx, now); });
    return result;
}

outgoing_messages slot_service::on(instance_id from, const load_query& msg, time_point now)
{
    load_answer answer{msg.ticket, msg.endpoint, 0, 0, 0};
    with_owned(msg.endpoint, now,
               [&](owned_endpoint& it, const ledger_context& ctx)
               {
                   const auto status = it.ledger.status(ctx);
                   answer.in_flight = status.in_flight;
                   answer.queued = status.queued;
                   answer.allowed = ctx.closed ? 0 : status.allowed;
               });
    return {{from, answer}};
}

outgoing_messages slot_service::on(instance_id from, const service_load_report& msg, time_point now)
{
    const auto expected = state_.routes()->open_count(msg.service);
    return {{from, summaries_.with_entry(msg.service, [&](load_summary& it)
                                         { return it.on_report(from, msg, expected, now); })}};
}

outgoing_messages slot_service::on(instance_id, const load_total& msg, time_point now)
{
    const auto expected = state_.routes()->open_count(msg.service);
    services_.with_entry(msg.service,
                         [&](service_state& it) { it.estimate.on_total(msg, expected, now); });
    return {};
}

outgoing_messages slot_service::on_report(const endpoint_report& report, time_point now)
{
    outgoing_messages result;
    with_owned(report.endpoint, now,
               [&](owned_endpoint& it, const ledger_context& ctx)
               {
                   it.polled = true;
                   it.reports_leaving = report.leaving;
                   auto adjusted = report;
                   // After an outage an endpoint counts as cold, even if it did not restart.
                   adjusted.warm = !it.health.on_poll(true) && report.warm;
                   auto changed = ctx;
                   if (report.leaving)
                   {
                       changed.closed = slot_refusal_reason::leaving;
                   }
                   result = it.ledger.report(adjusted, changed, now);
               });
    return result;
}

void slot_service::on_poll(endpoint_id endpoint, bool answered)
{
    ledgers_.find(endpoint,
                  [&](owned_endpoint& it)
                  {
                      it.health.on_poll(answered);
                      it.polled = true;
                  });
}

outgoing_messages slot_service::update_ownership(time_point now)
{
    const auto routes = state_.routes();
    const auto view = state_.view();
    outgoing_messages result;
    ledgers_.for_each_shard(
        [&](auto& entries)
        {
            absl::erase_if(entries,
                           [&](auto& it)
                           {
                               const auto* info = routes->find(it.first);
                               if (info != nullptr &&
                                   view->endpoint_owner(it.first, info->domain) == state_.self().id)
                               {
                                   return false;
                               }
                               append(result, it.second.ledger.on_ownership_lost());
                               return true;
                           });
        });
    for (const auto& info : routes->endpoints().all())
    {
        const auto* policy = routes->settings().find_service(info.service);
        if (policy != nullptr && view->endpoint_owner(info.id, info.domain) == state_.self().id)
        {
            ledgers_.with_shard(
                info.id,
                [&](auto& entries)
                {
                    entries.try_emplace(
                        info.id,
                        owned_endpoint{endpoint_ledger{info.id, *policy, now}, info.service, now});
                });
        }
    }
    return result;
}

void slot_service::sum_own_loads(time_point now)
{
    const auto routes = state_.routes();
    absl::flat_hash_map<service_id, owned_load> sums;
    ledgers_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [endpoint, it] : entries)
            {
                auto& sum = sums[it.service];
                it.counted_in_flight = it.ledger.in_flight();
                sum.load.total_in_flight += it.counted_in_flight;
                sum.load.ready_endpoints += is_ready(closed(it, *routes, endpoint, now)) ? 1U : 0U;
                ++sum.endpoints;
            }
        });
    services_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [service, it] : entries)
            {
                const auto found = sums.find(service);
                const auto sum = found == sums.end() ? owned_load{} : found->second;
                it.own = sum.load;
                it.owned = sum.endpoints;
                sums.erase(service);
            }
        });
    for (const auto& [service, sum] : sums)
    {
        services_.with_entry(service,
                             [&, sum = sum](service_state& it)
                             {
                                 it.own = sum.load;
                                 it.owned = sum.endpoints;
                             });
    }
}

outgoing_messages slot_service::report_loads(time_point now)
{
    std::vector<service_load_report> due;
    services_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [service, it] : entries)
            {
                if (it.owned != 0 && it.estimate.mark_reported_if_due(it.own, now))
                {
                    due.push_back(
                        {service, it.own.total_in_flight, it.own.ready_endpoints, it.owned});
                }
            }
        });
    const auto view = state_.view();
    outgoing_messages result;
    for (const auto& it : due)
    {
        if (const auto owner = view->key_owner(summary_key(it.service)))
        {
            result.push_back({*owner, it});
        }
    }
    return result;
}

outgoing_messages slot_service::tick(time_point now)
{
    outgoing_messages result;
    for (const auto endpoint : owned())
    {
        with_owned(endpoint, now,
                   [&](owned_endpoint& it, const ledger_context& ctx)
                   { append(result, it.ledger.tick(ctx, now)); });
    }
    sum_own_loads(now);
    append(result, report_loads(now));
    return result;
}

outgoing_messages slot_service::give_up_all()
{
    outgoing_messages result;
    ledgers_.for_each_shard(
        [&](auto& entries)
        {
            for (auto& [endpoint, it] : entries)
            {
                append(result, it.ledger.on_ownership_lost());
            }
            entries.clear();
        });
    return result;
}

std::vector<endpoint_id> slot_service::owned()
{
    std::vector<endpoint_id> result;
    ledgers_.for_each_shard(
        [&](const auto& entries)
        {
            for (const auto& [endpoint, it] : entries)
            {
                result.push_back(endpoint);
            }
        });
    return result;
}

std::vector<owned_endpoint_status> slot_service::status(time_point now)
{
    std::vector<owned_endpoint_status> result;
    for (const auto endpoint : owned())
    {
        with_owned(endpoint, now,
                   [&](owned_endpoint& it, const ledger_context& ctx) {
                       result.push_back({endpoint, it.service, it.ledger.status(ctx), ctx.closed});
                   });
    }
    return result;
}

service_load slot_service::load_of(service_id service, time_point now)
{
    const auto expected = state_.routes()->open_count(service);
    service_load result{0, static_cast<std::uint32_t>(expected)};
    services_.find(service, [&](const service_state& it)
                   { result = it.estimate.value(it.own, expected, now); });
    return result;
}

} // namespace mangovane

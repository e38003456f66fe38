// Room of services as the forward core knows it, and admission of requests to it.
#include <algorithm>

#include "mangovane/forward/forward_core.hpp"

namespace mangovane
{

namespace
{

service_room
with_endpoint(const service_room& room, const endpoint_info& endpoint, const endpoint_snapshot& it)
{
    auto load = it.known;
    load.age = room.age;
    load.slots = endpoint.slots != 0 ? endpoint.slots : load.slots;
    return room.with(load, endpoint_record::ended_per_s(it.counts));
}

/// Attempts have new ids, so a request that returns is known by its account, its route and what it
/// asks.
std::uint64_t identity_of(const forward_request& request)
{
    if (request.prompt.empty())
    {
        return 0;
    }
    const auto asker = hash_combine(request.account.value(), hash_bytes(request.route->name));
    return hash_combine(asker, request.prompt.back().id);
}

} // namespace

bool forward_core::fails_often(const attempt_counts& own, const attempt_counts& all)
{
    if (own.failures < min_failures)
    {
        return false;
    }
    const auto failure_rate = [](std::uint32_t failures, std::uint32_t successes)
    {
        const auto sum = failures + successes;
        return sum == 0 ? 0.0 : static_cast<double>(failures) / sum;
    };
    const auto others = failure_rate(all.failures - own.failures, all.successes - own.successes);
    const auto own_rate = failure_rate(own.failures, own.successes);
    return own_rate >= min_failure_rate && own_rate >= min_failure_ratio * others;
}

std::uint32_t forward_core::count_live() const
{
    const auto members = view();
    return static_cast<std::uint32_t>(live_peers(*members).size()) + 1;
}

bool forward_core::has_lost_member() const
{
    const auto members = view();
    return std::any_of(members->members().begin(), members->members().end(),
                       [](const member& it) { return it.state == member_state::dead; });
}

std::optional<endpoint_snapshot>
forward_core::usable_endpoint(const routing_table& routes,
                              const endpoint_info& endpoint,
                              const std::vector<domain_id>& suspected,
                              time_point now)
{
    if (routes.closed(endpoint) ||
        std::find(suspected.begin(), suspected.end(), endpoint.domain) != suspected.end())
    {
        return std::nullopt;
    }
    const auto result = tracker_.snapshot_of(endpoint.id, endpoint.epoch, now);
    const bool accepts = !result.leaving && now >= result.closed_until && !result.suspended;
    return accepts ? std::optional{result} : std::nullopt;
}

service_room forward_core::room_of(service_id service, time_point now)
{
    const auto routes = state_.routes();
    const auto suspected = domains_.suspected(now);
    const auto live = live_instances_.value();
    service_room result;
    result.usual_response = response_times_.usual(response_times::service_key(service));
    result.age = tracker_.mean_digest_age(now);
    result.live_instances = live.instances;
    result.hears_no_other = live.hears_no_other;
    const auto& listed = routes->endpoints().of_service(service);
    attempt_counts all;
    bool failures = false;
    for (const auto* it : listed)
    {
        if (const auto usable = usable_endpoint(*routes, *it, suspected, now))
        {
            all.failures += usable->counts.failures;
            all.successes += usable->counts.successes;
            failures = failures || usable->counts.failures >= min_failures;
            result = with_endpoint(result, *it, *usable);
        }
    }
    if (!failures)
    {
        return result;
    }
    // An endpoint can be avoided only if it has failures, so the second pass is rarely needed.
    auto avoiding = result.without_endpoints();
    for (const auto* it : listed)
    {
        const auto usable = usable_endpoint(*routes, *it, suspected, now);
        if (usable && !fails_often(usable->counts, all))
        {
            avoiding = with_endpoint(avoiding, *it, *usable);
        }
    }
    return avoiding;
}

admission_answer forward_core::ask_admission(const forward_request& request, time_point now)
{
    if (!admission_.enabled())
    {
        return {};
    }
    const auto room = room_of(request.service, now);
    if (!room.known())
    {
        return {};
    }
    admission_request asked;
    asked.ticket = ++ticket_count_;
    asked.account = request.account;
    asked.urgency = request.urgency;
    asked.bytes = request.bytes;
    asked.arrived_at = now;
    asked.start_by =
        request.deadline - response_times_.usual(response_times::route_key(request.route->name));
    asked.identity = identity_of(request);
    return admission_.ask(request.service, asked, room, now);
}

void forward_core::on_wait_ended(const forward_request& request,
                                 std::uint64_t ticket,
                                 time_point now)
{
    admission_.remove(request.service, ticket);
    admission_.statistics().on_wait_end(
        std::chrono::duration_cast<milliseconds>(now - request.accepted_at));
}

admission_decision
forward_core::expire_wait(const forward_request& request, std::uint64_t ticket, time_point now)
{
    return admission_.expire(request.service, ticket, room_of(request.service, now), now);
}

void forward_core::on_delivered(const forward_request& request, duration time)
{
    if (admission_.enabled())
    {
        response_times_.record(response_times::route_key(request.route->name), time);
        response_times_.record(response_times::service_key(request.service), time);
    }
}

std::vector<admission_outcome> forward_core::release_waiting(time_point now)
{
    std::vector<admission_outcome> result;
    for (const auto service : admission_.services_waiting())
    {
        const auto released = admission_.release(service, room_of(service, now), now);
        result.insert(result.end(), released.begin(), released.end());
    }
    return result;
}

void forward_core::send_usage(time_point now)
{
    if (!admission_.enabled())
    {
        return;
    }
    for (const bool same_domain : {false, true})
    {
        const auto pace = digest_period_for(same_domain);
        {
            const std::lock_guard lock{mutex_};
            if (now < usage_sent_at_[same_domain] + pace)
            {
                continue;
            }
            usage_sent_at_[same_domain] = now;
        }
        const auto reports = admission_.take_usage(same_domain, now);
        if (reports.empty())
        {
            continue;
        }
        const auto members = view();
        for (const auto* it : live_peers(*members))
        {
            for (const auto& report : reports)
            {
                if ((it->domain == options_.self.domain) == same_domain)
                {
                    sink_.send({it->id, report});
                }
            }
        }
    }
}

void forward_core::on_usage(const usage_report& report, time_point now)
{
    // Of an unknown service, nothing would ever be asked.
    if (admission_.enabled() && state_.routes()->settings().find_service(report.service) != nullptr)
    {
        admission_.on_usage(report, now);
    }
}

} // namespace mangovane

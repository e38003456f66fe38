// Choice of an endpoint by the forward core, and of the endpoint that should hold a prefix.
#include <algorithm>
#include <utility>

#include "mangovane/forward/forward_core.hpp"

namespace mangovane
{

namespace
{

const placement_rule& placement_for(bool evenly, bool sticky)
{
    if (evenly)
    {
        return sticky ? sticky_even_placement() : even_placement();
    }
    return sticky ? sticky_placement() : least_loaded_placement();
}

} // namespace

forward_core::candidate_set forward_core::collect_candidates(const routing_table& routes,
                                                             service_id service,
                                                             const version_set& versions,
                                                             std::span<const endpoint_id> excluded,
                                                             time_point now)
{
    candidate_set result;
    const auto& listed = routes.endpoints().of_service(service);
    const auto suspected_domains = domains_.suspected(now);
    const auto is_suspected = [&](domain_id it)
    {
        return std::find(suspected_domains.begin(), suspected_domains.end(), it) !=
               suspected_domains.end();
    };
    const bool evenly = spreads_evenly();
    std::vector<attempt_counts> counts;
    double total = 0;
    std::size_t permitted = 0;
    for (const auto* it : listed)
    {
        if (!versions.contains(it->version))
        {
            continue;
        }
        ++permitted;
        const auto snapshot = tracker_.snapshot_of(it->id, it->epoch, now);
        total += snapshot.load;
        const bool tried = std::find(excluded.begin(), excluded.end(), it->id) != excluded.end();
        if (tried || routes.closed(it->id) || snapshot.leaving)
        {
            continue;
        }
        if (now < snapshot.closed_until)
        {
            result.reopens_at = std::min(result.reopens_at, snapshot.closed_until);
        }
        else
        {
            const bool avoided = snapshot.suspended || is_suspected(it->domain);
            const double speed = evenly ? snapshot.known.speed : 1;
            result.candidates.push_back({it->id, it->domain, snapshot.load, avoided, speed});
            result.others_per_s += snapshot.known.others_per_s;
            counts.push_back(snapshot.counts);
        }
    }
    result.mean_load = permitted == 0 ? 0 : total / static_cast<double>(permitted);
    mark_avoided(result.candidates, counts);
    return result;
}

bool forward_core::spreads_evenly() const noexcept
{
    const auto mode = options_.fleet.placement;
    return mode == placement_mode::even ||
           (mode == placement_mode::reported && tracker_.speed_stated());
}

endpoint_load
forward_core::load_of(const routing_table& routes, const endpoint_info& endpoint, time_point now)
{
    auto result = tracker_.snapshot_of(endpoint.id, endpoint.epoch, now).known;
    const auto* service = routes.settings().find_service(endpoint.service);
    result.age = tracker_.mean_digest_age(now);
    result.token_capacity = service == nullptr ? 0 : service->token_capacity;
    result.slots = endpoint.slots != 0 ? endpoint.slots : result.slots;
    return result;
}

void forward_core::mark_avoided(std::vector<placement_candidate>& candidates,
                                const std::vector<attempt_counts>& counts)
{
    attempt_counts all;
    for (const auto& it : counts)
    {
        all.failures += it.failures;
        all.successes += it.successes;
    }
    for (std::size_t n = 0; n != candidates.size(); ++n)
    {
        candidates[n].avoided = candidates[n].avoided || fails_often(counts[n], all);
    }
}

bool forward_core::is_cold(const endpoint_info& endpoint, time_point now)
{
    if (now < endpoint.cold_until)
    {
        return true;
    }
    const std::lock_guard lock{mutex_};
    const auto it = cold_domains_.find(endpoint.domain);
    return it != cold_domains_.end() && now < it->second;
}

duration forward_core::cold_request_interval(const service_policy& service) const
{
    const auto fleet_rate = service.cold_requests_per_s * options_.fleet.cold_rate_factor +
                            options_.fleet.cold_rate_extra;
    const auto seconds_apart = fleet_size_.value() / (cold_safety_factor * fleet_rate);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds_apart});
}

bool forward_core::admit(const routing_table& routes,
                         const placement_candidate& candidate,
                         time_point now)
{
    const auto* endpoint = routes.find(candidate.endpoint);
    const auto* service = routes.settings().find_service(endpoint->service);
    const bool bounded = service != nullptr && service->cold_requests_per_s > 0;
    if (!bounded || !is_cold(*endpoint, now))
    {
        return true;
    }
    const auto interval = cold_request_interval(*service);
    const auto offset = hash_combine(options_.self.id.value(), candidate.endpoint.value());
    const duration first_wait{static_cast<duration::rep>(
        offset % static_cast<std::uint64_t>(std::max<duration::rep>(interval.count(), 1)))};
    return tracker_.try_admit_cold(candidate.endpoint, interval, first_wait, now);
}

dispatch_choice forward_core::choose(const forward_request& request,
                                     std::span<const endpoint_id> excluded,
                                     choice_purpose purpose,
                                     time_point now)
{
    if (const auto verdict = quarantine_.check(request.identity(), now))
    {
        return choice_refusal{error_kind::prompt_quarantined, now + prompt_quarantine::retry_delay,
                              verdict};
    }
    const auto routes = state_.routes();
    const auto affinity = request.affinity();
    const auto key = affinity != 0 ? affinity : hash_bytes(request.request);
    const bool repeated = !excluded.empty() || purpose == choice_purpose::replacement;
    std::optional<chosen_endpoint> chosen;
    auto reopens_at = time_point::max();
    for (const auto& versions : rollouts_.choose(request.service, key, repeated, now))
    {
        chosen = choose_among(*routes, request, versions, excluded, purpose, reopens_at, now);
        if (chosen)
        {
            break;
        }
    }
    if (!chosen)
    {
        return choice_refusal{error_kind::no_endpoint,
                              reopens_at == time_point::max() ? time_point{} : reopens_at,
                              {}};
    }
    const auto& candidate = chosen->candidate;
    const auto* endpoint = routes->find(candidate.endpoint);
    const auto known = load_of(*routes, *endpoint, now);
    rollouts_.on_started({request.service, endpoint->version, endpoint->id, 0});
    tracker_.on_started(candidate.endpoint);
    auto source = prefix_source(*routes, request, *endpoint, now);
    for (const auto prefix : {affinity, request.common_prefix()})
    {
        if (prefix != 0)
        {
            prefixes_.record(prefix, endpoint->id, endpoint->epoch, now);
        }
    }
    return dispatch_target{candidate.endpoint,
                           endpoint->name,
                           endpoint->address,
                           endpoint->epoch,
                           std::move(source),
                           candidate.load,
                           chosen->allowed,
                           chosen->eligible,
                           routes->settings().stamp.version,
                           endpoint->version,
                           known};
}

std::optional<forward_core::chosen_endpoint>
forward_core::choose_among(const routing_table& routes,
                           const forward_request& request,
                           const version_set& versions,
                           std::span<const endpoint_id> excluded,
                           choice_purpose purpose,
                           time_point& reopens_at,
                           time_point now)
{
    auto eligible = collect_candidates(routes, request.service, versions, excluded, now);
    const auto allowed = options_.fleet.bound.allowed(eligible.mean_load);
    if (purpose == choice_purpose::replacement)
    {
        std::erase_if(eligible.candidates, [&](const placement_candidate& it)
                      { return it.avoided || it.load >= allowed; });
    }
    const auto affinity = request.affinity();
    const auto& rule = placement_for(spreads_evenly(), affinity != 0);
    const std::chrono::duration<double> digest_age = tracker_.mean_digest_age(now);
    const double unreported = eligible.others_per_s * digest_age.count();
    const auto tie_break_seed = hash_combine(options_.seed, ++choice_count_);
    const auto chosen = rule.choose(
        {eligible.candidates, allowed, affinity, tie_break_seed, options_.self.domain, unreported},
        [&](const placement_candidate& it) { return admit(routes, it, now); });
    if (!chosen)
    {
        reopens_at =
            eligible.candidates.empty() ? std::min(reopens_at, eligible.reopens_at) : reopens_at;
        return std::nullopt;
    }
    return chosen_endpoint{eligible.candidates[*chosen], allowed,
                           static_cast<std::uint32_t>(eligible.candidates.size())};
}

const endpoint_info* forward_core::expected_prefix_endpoint(const routing_table& routes,
                                                            const forward_request& request,
                                                            time_point now)
{
    const endpoint_info* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto* it : routes.endpoints().of_service(request.service))
    {
        const bool recently_cold =
            it->cold_until != time_point{} && now < it->cold_until + recently_cold_time;
        const auto score = rendezvous_score(request.affinity(), it->id.value());
        if (!recently_cold && (best == nullptr || score > best_score) &&
            !tracker_.snapshot_of(it->id, it->epoch, now).suspended)
        {
            best = it;
            best_score = score;
        }
    }
    return best;
}

const endpoint_info* forward_core::last_prefix_endpoint(const routing_table& routes,
                                                        std::uint64_t prefix,
                                                        const endpoint_info& chosen,
                                                        time_point now)
{
    const auto last = prefixes_.last_other(prefix, chosen.id, now);
    const auto* caching_endpoint = last ? routes.find(*last) : nullptr;
    const bool is_suspended =
        caching_endpoint != nullptr &&
        tracker_.snapshot_of(caching_endpoint->id, caching_endpoint->epoch, now).suspended;
    return is_suspended ? nullptr : caching_endpoint;
}

std::string forward_core::prefix_source(const routing_table& routes,
                                        const forward_request& request,
                                        const endpoint_info& chosen,
                                        time_point now)
{
    const auto affinity = request.affinity();
    if (affinity == 0 || prefixes_.holds(affinity, chosen.id, chosen.epoch, now))
    {
        return {};
    }
    const auto* caching_endpoint = last_prefix_endpoint(routes, affinity, chosen, now);
    if (caching_endpoint == nullptr)
    {
        caching_endpoint = expected_prefix_endpoint(routes, request, now);
    }
    if (caching_endpoint != nullptr && caching_endpoint->id != chosen.id)
    {
        return caching_endpoint->address;
    }
    // No other endpoint is expected to hold the whole prefix; one may hold its first part.
    const auto common = request.common_prefix();
    if (common == 0 || prefixes_.holds(common, chosen.id, chosen.epoch, now))
    {
        return {};
    }
    caching_endpoint = last_prefix_endpoint(routes, common, chosen, now);
    return caching_endpoint == nullptr ? std::string{} : caching_endpoint->address;
}

} // namespace mangovane

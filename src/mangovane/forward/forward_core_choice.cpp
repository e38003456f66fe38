// Choice of an endpoint by the forward core, and of the endpoint that should hold a prefix.
#include <algorithm>
#include <utility>

#include "mangovane/forward/forward_core.hpp"

namespace mangovane
{

forward_core::candidate_set& forward_core::empty_candidate_set()
{
    thread_local candidate_set result;
    result.clear();
    return result;
}

void forward_core::collect_candidates(candidate_set& result,
                                      const routing_table& routes,
                                      const candidate_query& query,
                                      time_point now)
{
    const auto& listed = routes.endpoints().of_service(query.request.service);
    const auto suspected_domains = domains_.suspected(now);
    const auto is_suspected = [&](domain_id it)
    {
        return std::find(suspected_domains.begin(), suspected_domains.end(), it) !=
               suspected_domains.end();
    };
    const bool weighs_speed = query.evenly && policy_of(options_.fleet.placement).uses_speed;
    const auto capacity = query.evenly ? token_capacity(routes, query.request.service) : 0;
    const auto tokens = query.request.tokens.held();
    double total = 0;
    std::size_t permitted = 0;
    const auto add = [&](const endpoint_info& it, const endpoint_record& record)
    {
        const auto excluded = exclusion_of(routes, query, it, record, now);
        if (excluded == exclusion::other_version)
        {
            return;
        }
        ++permitted;
        total += record.load();
        if (excluded == exclusion::closed)
        {
            result.reopens_at = std::min(result.reopens_at, record.closed_until(it.epoch));
        }
        if (excluded != exclusion::none)
        {
            return;
        }
        const bool avoided = record.suspended(now) || is_suspected(it.domain);
        const double speed = weighs_speed ? record.speed(now) : 1;
        const endpoint_load memory{.held_tokens = record.held_tokens(), .token_capacity = capacity};
        result.candidates.push_back({it.id, it.domain, record.load(), avoided, speed,
                                     memory.can_hold(tokens), memory.free_tokens()});
        result.others_per_s += record.others_per_s();
        result.counts.push_back(record.counts(now));
    };
    tracker_.visit(listed, add);
    result.mean_load = permitted == 0 ? 0 : total / static_cast<double>(permitted);
    mark_avoided(result);
}

exclusion forward_core::exclusion_of(const routing_table& routes,
                                     const candidate_query& query,
                                     const endpoint_info& endpoint,
                                     const endpoint_record& record,
                                     time_point now)
{
    if (!query.versions.contains(endpoint.version))
    {
        return exclusion::other_version;
    }
    const auto& tried = query.excluded;
    if (std::find(tried.begin(), tried.end(), endpoint.id) != tried.end())
    {
        return exclusion::tried;
    }
    if (const auto reason = routes.closed(endpoint))
    {
        return *reason == slot_refusal_reason::leaving ? exclusion::leaving : exclusion::drained;
    }
    if (record.leaving(endpoint.epoch))
    {
        return exclusion::leaving;
    }
    return now < record.closed_until(endpoint.epoch) ? exclusion::closed : exclusion::none;
}

bool forward_core::spreads_evenly(bool has_prefix) const noexcept
{
    return policy_of(options_.fleet.placement).spreads(has_prefix, tracker_.speed_stated());
}

std::uint64_t forward_core::token_capacity(const routing_table& routes, service_id service) const
{
    const auto* policy = policy_of(options_.fleet.placement).counts_tokens
                             ? routes.settings().find_service(service)
                             : nullptr;
    return policy == nullptr ? 0 : policy->token_capacity;
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

void forward_core::mark_avoided(candidate_set& set)
{
    attempt_counts all;
    for (const auto& it : set.counts)
    {
        all.failures += it.failures;
        all.successes += it.successes;
    }
    for (std::size_t n = 0; n != set.candidates.size(); ++n)
    {
        auto& it = set.candidates[n];
        it.avoided = it.avoided || fails_often(set.counts[n], all);
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

std::optional<forward_core::cold_limit> forward_core::cold_limit_of(const routing_table& routes,
                                                                    const endpoint_info& endpoint,
                                                                    time_point now)
{
    const auto* service = routes.settings().find_service(endpoint.service);
    const bool bounded = service != nullptr && service->cold_requests_per_s > 0;
    if (!bounded || !is_cold(endpoint, now))
    {
        return std::nullopt;
    }
    const auto interval = cold_request_interval(*service);
    const auto offset = hash_combine(options_.self.id.value(), endpoint.id.value());
    const duration first_wait{static_cast<duration::rep>(
        offset % static_cast<std::uint64_t>(std::max<duration::rep>(interval.count(), 1)))};
    return cold_limit{interval, first_wait};
}

bool forward_core::admit(const routing_table& routes,
                         const placement_candidate& candidate,
                         time_point now)
{
    const auto limit = cold_limit_of(routes, *routes.find(candidate.endpoint), now);
    return !limit ||
           tracker_.try_admit_cold(candidate.endpoint, limit->interval, limit->first_wait, now);
}

bool forward_core::would_admit(const routing_table& routes,
                               const placement_candidate& candidate,
                               time_point now)
{
    const auto limit = cold_limit_of(routes, *routes.find(candidate.endpoint), now);
    return !limit ||
           tracker_.would_admit_cold(candidate.endpoint, limit->interval, limit->first_wait, now);
}

bool forward_core::is_too_large(const routing_table& routes, const forward_request& request) const
{
    const auto capacity =
        spreads_evenly(request.affinity() != 0) ? token_capacity(routes, request.service) : 0;
    return capacity != 0 && request.tokens.held() > capacity;
}

const placement_rule& forward_core::rule_for(const candidate_query& query) noexcept
{
    const bool sticky = query.request.affinity() != 0;
    if (query.evenly)
    {
        return sticky ? sticky_even_placement() : even_placement();
    }
    return sticky ? sticky_placement() : least_loaded_placement();
}

double forward_core::unreported_at(const candidate_set& set, time_point now)
{
    const std::chrono::duration<double> digest_age = tracker_.mean_digest_age(now);
    return set.others_per_s * digest_age.count();
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
    if (is_too_large(*routes, request))
    {
        return choice_refusal{error_kind::overloaded, {}, {}};
    }
    const auto key = affinity != 0 ? affinity : hash_bytes(request.request);
    const bool repeated = !excluded.empty() || purpose == choice_purpose::replacement;
    const auto versions = rollouts_.choose(request.service, key, repeated, now);
    const auto next_count = [&] { return ++choice_count_; };
    const auto admitted = [&](const placement_candidate& it) { return admit(*routes, it, now); };
    const auto found = search(empty_candidate_set(), *routes, request, versions, excluded, purpose,
                              next_count, admitted, now);
    if (!found.chosen)
    {
        return found.refusal();
    }
    const auto& chosen = found.chosen;
    const auto& candidate = chosen->candidate;
    const auto* endpoint = routes->find(candidate.endpoint);
    const auto known = load_of(*routes, *endpoint, now);
    rollouts_.on_started({request.service, endpoint->version, endpoint->id, 0});
    tracker_.on_started(candidate.endpoint);
    if (policy_of(options_.fleet.placement).counts_tokens && request.tokens.held() != 0)
    {
        tracker_.on_tokens_held(candidate.endpoint, request.tokens.held());
    }
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

forward_core::search_result forward_core::search(candidate_set& eligible,
                                                 const routing_table& routes,
                                                 const forward_request& request,
                                                 const version_choice& versions,
                                                 std::span<const endpoint_id> excluded,
                                                 choice_purpose purpose,
                                                 absl::FunctionRef<std::uint64_t()> next_count,
                                                 admission_filter admit,
                                                 time_point now)
{
    search_result result;
    const bool evenly = spreads_evenly(request.affinity() != 0);
    for (const auto& it : versions)
    {
        result.versions = &it;
        eligible.clear();
        const candidate_query query{request, it, excluded, evenly};
        const auto seed = hash_combine(options_.seed, next_count());
        result.chosen = choose_among(eligible, routes, query, purpose, seed, admit, now);
        if (result.chosen)
        {
            break;
        }
        if (eligible.candidates.empty())
        {
            result.reopens_at = std::min(result.reopens_at, eligible.reopens_at);
        }
    }
    return result;
}

std::optional<forward_core::chosen_endpoint>
forward_core::choose_among(candidate_set& eligible,
                           const routing_table& routes,
                           const candidate_query& query,
                           choice_purpose purpose,
                           std::uint64_t tie_break_seed,
                           admission_filter admit,
                           time_point now)
{
    collect_candidates(eligible, routes, query, now);
    const auto allowed = options_.fleet.bound.allowed(eligible.mean_load);
    if (purpose == choice_purpose::replacement)
    {
        eligible.keep_unavoided(allowed);
    }
    const auto chosen =
        rule_for(query).choose({eligible.candidates, allowed, query.request.affinity(),
                                tie_break_seed, options_.self.domain, unreported_at(eligible, now)},
                               admit);
    if (!chosen)
    {
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
    const auto affinity = request.affinity();
    for (const auto* it : routes.endpoints().of_service(request.service))
    {
        const bool recently_cold =
            it->cold_until != time_point{} && now < it->cold_until + recently_cold_time;
        const auto score = rendezvous_score(affinity, it->id.value());
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

// Explanation of a choice by the forward core: the steps of a choice, without their effects.
#include <algorithm>
#include <utility>

#include "mangovane/forward/forward_core.hpp"

namespace mangovane
{

choice_explanation forward_core::explain(const forward_request& request, time_point now)
{
    const auto routes = state_.routes();
    choice_explanation result;
    result.route = request.route->name;
    const auto* service = routes->settings().find_service(request.service);
    result.service = service == nullptr ? std::string{} : service->name;
    result.settings_version = routes->settings().stamp.version;
    result.admission = explain_admission(request.service, now);
    const auto affinity = request.affinity();
    const auto key = affinity != 0 ? affinity : hash_bytes(request.request);
    result.versions = rollouts_.preview(request.service, key, false, now);
    if (const auto verdict = quarantine_.preview(request.identity()))
    {
        result.refusal = choice_refusal{error_kind::prompt_quarantined,
                                        now + prompt_quarantine::retry_delay, verdict};
    }
    else if (is_too_large(*routes, request))
    {
        result.refusal = choice_refusal{error_kind::overloaded, {}, {}};
    }
    const auto admitted = [&](const placement_candidate& it)
    { return would_admit(*routes, it, now); };
    std::uint64_t count = choice_count_;
    candidate_set eligible;
    const auto found = search(
        eligible, *routes, request, result.versions, {}, choice_purpose::dispatch,
        [&] { return ++count; }, admitted, now);
    const auto& chosen = found.chosen;
    if (!chosen && !result.refusal)
    {
        result.refusal = found.refusal();
    }
    const candidate_query query{request, *found.versions, {}, spreads_evenly(affinity != 0)};
    describe_endpoints(result, *routes, query, eligible, now);
    if (chosen && !result.refusal)
    {
        const auto* endpoint = routes->find(chosen->candidate.endpoint);
        result.prefix_source = prefix_source(*routes, request, *endpoint, now);
        const auto at =
            std::find_if(result.endpoints.begin(), result.endpoints.end(),
                         [&](const explained_endpoint& it) { return it.name == endpoint->name; });
        if (at != result.endpoints.end())
        {
            at->chosen = true;
        }
        result.chosen = endpoint->name;
    }
    return result;
}

std::optional<explained_admission> forward_core::explain_admission(service_id service,
                                                                   time_point now)
{
    const auto room = admission_.enabled() ? room_of(service, now) : service_room{};
    if (!room.known())
    {
        return std::nullopt;
    }
    const auto waiting = admission_.waiting(service);
    return explained_admission{room, waiting, admission_.would_send(service, room)};
}

void forward_core::describe_endpoints(choice_explanation& result,
                                      const routing_table& routes,
                                      const candidate_query& query,
                                      const candidate_set& eligible,
                                      time_point now)
{
    result.rule = rule_for(query).name();
    result.mean_load = eligible.mean_load;
    result.load_limit = options_.fleet.bound.allowed(eligible.mean_load);
    result.unreported = unreported_at(eligible, now);
    const auto& listed = routes.endpoints().of_service(query.request.service);
    const auto suspected = domains_.suspected(now);
    result.endpoint_count = listed.size();
    const std::span<const endpoint_info* const> described{
        listed.data(), std::min(listed.size(), choice_explanation::max_endpoints)};
    std::vector<std::pair<const endpoint_info*, endpoint_record>> records;
    records.reserve(described.size());
    tracker_.visit(described, [&](const endpoint_info& it, const endpoint_record& record)
                   { records.emplace_back(&it, record); });
    // Both lists are in the order of the ids.
    auto candidate = eligible.candidates.begin();
    for (const auto& [endpoint, record] : records)
    {
        auto& it = result.endpoints.emplace_back();
        it.name = endpoint->name;
        it.domain = endpoint->domain_name;
        it.version = endpoint->version;
        it.known = load_of(routes, *endpoint, now);
        it.excluded = exclusion_of(routes, query, *endpoint, record, now);
        it.suspended = record.suspended(now);
        it.domain_suspected =
            std::find(suspected.begin(), suspected.end(), endpoint->domain) != suspected.end();
        it.over_bound = record.load() >= result.load_limit;
        it.cold = is_cold(*endpoint, now);
        if (candidate != eligible.candidates.end() && candidate->endpoint == endpoint->id)
        {
            it.avoided = candidate->avoided;
            it.can_hold = candidate->can_hold;
            it.admits = would_admit(routes, *candidate, now);
            ++candidate;
        }
    }
}

} // namespace mangovane

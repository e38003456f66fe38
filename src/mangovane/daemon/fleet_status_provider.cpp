// Implementation of the fleet status for operators.
#include "mangovane/daemon/fleet_status_provider.hpp"

#include <algorithm>
#include <array>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

namespace mangovane
{

namespace
{

constexpr std::array<std::string_view, 4> member_state_names{"alive", "suspect", "dead", "left"};

std::string state_of(const owned_endpoint_status& it)
{
    if (it.closed == slot_refusal_reason::leaving)
    {
        return "leaving";
    }
    if (it.closed == slot_refusal_reason::failing)
    {
        return "unreachable";
    }
    return it.closed ? "drained" : it.ledger.cold ? "cold" : "ready";
}

std::string state_of(const routing_table& routes, endpoint_id endpoint)
{
    const auto closed = routes.closed(endpoint);
    if (!closed)
    {
        return "ready";
    }
    return *closed == slot_refusal_reason::leaving ? "leaving" : "drained";
}

/// Name of a domain that members refer to by id; its id in hexadecimal when no endpoint names it.
std::string name_of_domain(const absl::flat_hash_map<domain_id, std::string>& names, domain_id id)
{
    const auto it = names.find(id);
    return it == names.end() ? absl::StrCat(absl::Hex(id.value())) : it->second;
}

struct owned_gauge
{
    const char* name;
    std::uint32_t (*value)(const ledger_status&);
};

/// Gauges summed over all owned endpoints.
constexpr std::array owned_gauges{
    owned_gauge{"mangovane_owned_endpoints", [](const ledger_status&) { return 1U; }},
    owned_gauge{"mangovane_owned_in_flight", [](const ledger_status& it) { return it.in_flight; }},
    owned_gauge{"mangovane_owned_queued", [](const ledger_status& it) { return it.queued; }},
    owned_gauge{"mangovane_owned_orphaned_slots",
                [](const ledger_status& it) { return it.orphaned; }},
    owned_gauge{"mangovane_owned_cold", [](const ledger_status& it) { return it.cold ? 1U : 0U; }},
    owned_gauge{"mangovane_owned_rebuilding",
                [](const ledger_status& it) { return it.rebuilding ? 1U : 0U; }},
};

void append_owned(std::string& out, const std::vector<owned_endpoint_status>& owned)
{
    for (const auto& row : owned_gauges)
    {
        std::uint32_t sum = 0;
        for (const auto& it : owned)
        {
            sum += row.value(it.ledger);
        }
        absl::StrAppend(&out, row.name, " ", sum, "\n");
    }
    std::uint32_t largest = 0;
    for (const auto& it : owned)
    {
        largest = std::max(largest, it.ledger.in_flight);
    }
    absl::StrAppend(&out, "mangovane_owned_in_flight_largest ", largest, "\n");
}

} // namespace

fleet_status fleet_status_provider::status() const
{
    fleet_status result;
    const auto view = core_.view();
    const auto routes = core_.routes();
    const auto& settings = routes->settings();
    absl::flat_hash_map<domain_id, std::string> domains;
    for (const auto& it : routes->endpoints().all())
    {
        domains.emplace(it.domain, it.domain_name);
    }
    for (const auto& it : view->members())
    {
        result.instances.push_back(
            {it.name, name_of_domain(domains, it.domain),
             std::string{member_state_names[static_cast<std::size_t>(it.state)]},
             it.settings.version.number});
    }
    absl::flat_hash_map<endpoint_id, owned_endpoint_status> owned;
    for (const auto& it : core_.slots().status(clock::now()))
    {
        owned.emplace(it.endpoint, it);
    }
    for (const auto& info : routes->endpoints().all())
    {
        const auto* service = settings.find_service(info.service);
        const auto owner = view->endpoint_owner(info.id, info.domain);
        const auto* member = owner ? view->find(*owner) : nullptr;
        endpoint_status row;
        row.name = info.name;
        row.service = service == nullptr ? std::string{} : service->name;
        row.domain = info.domain_name;
        row.owner = member == nullptr ? std::string{} : member->name;
        row.state = state_of(*routes, info.id);
        const auto it = owned.find(info.id);
        if (it != owned.end())
        {
            row.state = state_of(it->second);
            row.load = it->second.ledger.in_flight;
            row.allowed = it->second.ledger.allowed;
            row.ramp = it->second.ledger.ramp;
        }
        result.endpoints.push_back(std::move(row));
    }
    return result;
}

std::string fleet_status_provider::metrics_text() const
{
    const auto counters = core_.counters();
    const auto settings = core_.settings().current();
    std::string out;
    absl::StrAppend(&out, "mangovane_accepted_total ", counters.accepted, "\n");
    absl::StrAppend(&out, "mangovane_attempts_total ", counters.attempts, "\n");
    absl::StrAppend(&out, "mangovane_retries_total ", counters.retries, "\n");
    absl::StrAppend(&out, "mangovane_retries_refused_total ", counters.retries_refused, "\n");
    absl::StrAppend(&out, "mangovane_stale_grants_total ", counters.stale_grants, "\n");
    absl::StrAppend(&out, "mangovane_local_slots_total ", counters.local_slots, "\n");
    absl::StrAppend(&out, "mangovane_running_requests ", core_.running(), "\n");
    append_owned(out, core_.slots().status(clock::now()));
    absl::StrAppend(&out, "mangovane_chats_remembered ", core_.chats().size(), "\n");
    absl::StrAppend(&out, "mangovane_view_members ", core_.view()->members().size(), "\n");
    absl::StrAppend(&out, "mangovane_settings_version ",
                    settings ? settings->stamp.version.number : 0, "\n");
    return out;
}

} // namespace mangovane

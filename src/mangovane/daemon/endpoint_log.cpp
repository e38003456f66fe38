// Implementation of the log of owned endpoints.
#include "mangovane/daemon/endpoint_log.hpp"

#include <array>
#include <string_view>
#include <utility>

#include <absl/strings/str_cat.h>

namespace mangovane
{

namespace
{

/// Indexed by `slot_refusal_reason`.
constexpr std::array<std::string_view, slot_refusal_reason_count> reason_names{
    "not_owner",  "at_bound",     "cold",     "rebuilding",  "leaving",          "drained",
    "queue_full", "wait_expired", "deadline", "unreachable", "unknown_endpoint", "failing"};

std::string name_of(const endpoint_directory& endpoints, endpoint_id id)
{
    const auto* info = endpoints.find(id);
    return info == nullptr ? absl::StrCat(absl::Hex(id.value())) : info->name;
}

} // namespace

std::vector<std::string> endpoint_log::changes(const std::vector<owned_endpoint_status>& owned,
                                               const endpoint_directory& endpoints)
{
    std::vector<std::string> result;
    absl::flat_hash_map<endpoint_id, logged_endpoint> now;
    for (const auto& it : owned)
    {
        logged_endpoint entry{name_of(endpoints, it.endpoint), it.ledger.ramp, it.ledger.rebuilding,
                              it.closed};
        const auto before = logged_.find(it.endpoint);
        if (before == logged_.end())
        {
            result.push_back(absl::StrCat("event=endpoint_owned endpoint=", entry.name,
                                          " in_flight=", it.ledger.in_flight,
                                          " ramp=", entry.ramp));
        }
        else
        {
            compare(before->second, entry, result);
        }
        now.emplace(it.endpoint, std::move(entry));
    }
    for (const auto& [id, entry] : logged_)
    {
        if (!now.contains(id))
        {
            result.push_back(absl::StrCat("event=endpoint_given_up endpoint=", entry.name));
        }
    }
    logged_ = std::move(now);
    return result;
}

void endpoint_log::compare(const logged_endpoint& before,
                           const logged_endpoint& after,
                           std::vector<std::string>& out)
{
    if (before.ramp != after.ramp)
    {
        out.push_back(absl::StrCat("event=ramp_changed endpoint=", after.name,
                                   " before=", before.ramp, " ramp=", after.ramp));
    }
    if (before.rebuilding && !after.rebuilding)
    {
        out.push_back(absl::StrCat("event=endpoint_rebuilt endpoint=", after.name));
    }
    if (before.closed == after.closed)
    {
        return;
    }
    if (after.closed)
    {
        const std::string reason{reason_names.at(static_cast<std::size_t>(*after.closed))};
        out.push_back(
            absl::StrCat("event=endpoint_closed endpoint=", after.name, " reason=", reason));
        return;
    }
    out.push_back(absl::StrCat("event=endpoint_opened endpoint=", after.name));
}

} // namespace mangovane

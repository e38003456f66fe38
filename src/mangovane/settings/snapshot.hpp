// One accepted version of the settings, resolved for use. Immutable; shared by pointer.
#ifndef MANGOVANE_SETTINGS_SNAPSHOT_HPP
#define MANGOVANE_SETTINGS_SNAPSHOT_HPP

#include <memory>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "mangovane/core/id.hpp"
#include "mangovane/message/membership.hpp"
#include "mangovane/settings/policy.hpp"
#include "mangovane/settings/rollout_order.hpp"
#include "mangovane/settings/route.hpp"

namespace mangovane
{

struct settings_snapshot
{
    settings_stamp stamp;
    std::string change_id;
    std::string author;
    std::string text; ///< Encoded settings, sent to peers that lack this version.

    absl::flat_hash_map<service_id, service_policy> services;
    absl::flat_hash_map<account_id, account_policy> accounts;
    absl::flat_hash_map<std::string, account_id>
        accounts_by_key_hash;                        ///< SHA-256 of a caller key, lower-case hex.
    absl::flat_hash_map<node_id, limit_rule> limits; ///< Nodes with a rate or concurrency limit.
    absl::flat_hash_set<domain_id> domains_out;
    absl::flat_hash_set<endpoint_id> endpoints_drained;
    route_list routes; ///< Empty when the request path names the service.
    http_limits request_limits;
    std::vector<rollout_order> rollouts; ///< At most one for each service.

    [[nodiscard]] const service_policy* find_service(service_id id) const
    {
        const auto it = services.find(id);
        return it == services.end() ? nullptr : &it->second;
    }

    [[nodiscard]] const account_policy* find_account(account_id id) const
    {
        const auto it = accounts.find(id);
        return it == accounts.end() ? nullptr : &it->second;
    }

    bool operator==(const settings_snapshot&) const = default;
};

using settings_ptr = std::shared_ptr<const settings_snapshot>;

} // namespace mangovane

#endif

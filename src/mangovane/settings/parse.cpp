// Implementation of parsing: converts the validated tree into a snapshot.
#include "mangovane/settings/parse.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/settings/check.hpp"
#include "mangovane/settings/schema.hpp"

namespace mangovane
{

namespace
{

using node_map = absl::flat_hash_map<std::string_view, const settings_node*>;

template <class Id>
std::vector<Id> ids_of(const std::vector<std::string>& names)
{
    std::vector<Id> result;
    result.reserve(names.size());
    for (const auto& it : names)
    {
        result.push_back(Id::of(it));
    }
    return result;
}

std::vector<std::size_t> find_limit_rows()
{
    static constexpr std::array<std::string_view, 3> keys{"rate_per_s", "burst", "concurrency"};
    std::vector<std::size_t> result;
    const auto rows = node_schema();
    for (std::size_t n = 0; n != rows.size(); ++n)
    {
        if (std::find(keys.begin(), keys.end(), rows[n].key) != keys.end())
        {
            result.push_back(n);
        }
    }
    return result;
}

/// Whether the node itself sets a limit. An inherited limit is already enforced at the ancestor.
bool sets_limit(const settings_node& node)
{
    static const auto rows = find_limit_rows();
    return std::any_of(rows.begin(), rows.end(), [&](std::size_t row) { return node.sets(row); });
}

/// A burst of 0 would admit no request; it means one second's worth of the rate.
std::uint32_t burst_of(const node_values& values)
{
    return values.burst != 0 ? values.burst
                             : static_cast<std::uint32_t>(std::ceil(values.rate_per_s));
}

limit_rule rule_of(const settings_node& node)
{
    const auto& values = node.effective;
    return {node_id::of(node.path), node.path, values.rate_per_s, burst_of(values),
            values.concurrency};
}

std::vector<limit_rule> limits_of(const settings_node& node, const node_map& nodes)
{
    std::vector<limit_rule> result;
    for (const auto* it = &node; it != nullptr;)
    {
        if (sets_limit(*it))
        {
            result.push_back(rule_of(*it));
        }
        const auto parent = nodes.find(it->parent);
        it = parent == nodes.end() ? nullptr : parent->second;
    }
    return result;
}

account_policy account_of(const settings_node& node, const node_map& nodes)
{
    const auto& values = node.effective;
    account_policy result;
    result.name = node.account->name;
    result.id = account_id::of(result.name);
    result.path = node.path;
    result.default_class = values.default_class;
    result.highest_class = values.highest_class;
    result.weight = values.weight;
    result.services = ids_of<service_id>(values.services);
    result.models = ids_of<model_id>(values.models);
    result.domains = ids_of<domain_id>(values.domains);
    result.limits = limits_of(node, nodes);
    result.default_deadline = values.default_deadline;
    return result;
}

node_map map_of(const settings_tree& tree)
{
    node_map result;
    for (const auto& it : tree.nodes)
    {
        result.emplace(it.path, &it);
    }
    return result;
}

void add_accounts(const settings_tree& tree, settings_snapshot& out)
{
    const auto nodes = map_of(tree);
    for (const auto& it : tree.nodes)
    {
        if (!it.account)
        {
            continue;
        }
        auto policy = account_of(it, nodes);
        for (const auto& rule : policy.limits)
        {
            out.limits.emplace(rule.node, rule);
        }
        for (const auto& key : it.account->key_sha256)
        {
            out.accounts_by_key_hash.emplace(key, policy.id);
        }
        out.accounts.emplace(policy.id, std::move(policy));
    }
}

} // namespace

absl::StatusOr<settings_ptr> parse_settings(std::string text, store_revision version)
{
    const auto checked = check_settings(text, check_scope::without_duplicate_keys);
    if (!checked.valid())
    {
        return make_error(error_kind::malformed_request, to_text(checked.errors));
    }
    auto result = std::make_shared<settings_snapshot>();
    for (const auto& it : checked.tree.services)
    {
        result->services.emplace(it.id, it);
    }
    add_accounts(checked.tree, *result);
    const auto domains = ids_of<domain_id>(checked.tree.domains_out);
    result->domains_out.insert(domains.begin(), domains.end());
    const auto endpoints = ids_of<endpoint_id>(checked.tree.endpoints_drained);
    result->endpoints_drained.insert(endpoints.begin(), endpoints.end());
    result->stamp = settings_stamp{version, hash_bytes(text)};
    result->text = std::move(text);
    return settings_ptr{std::move(result)};
}

} // namespace mangovane

// The settings tree as operators write it, with the effective settings of each node.
#ifndef MANGOVANE_SETTINGS_TREE_HPP
#define MANGOVANE_SETTINGS_TREE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "mangovane/core/request_class.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/settings/policy.hpp"

namespace mangovane
{

/// Settings that a node inherits from its parent and may override.
struct node_values
{
    request_class default_class{request_class::standard};
    request_class highest_class{request_class::interactive};
    std::uint16_t weight{1};
    double rate_per_s{0};
    std::uint32_t burst{0};
    std::uint32_t concurrency{0};
    std::vector<std::string> models;   ///< Empty: all.
    std::vector<std::string> services; ///< Empty: all.
    std::vector<std::string> domains;  ///< Empty: all.
    milliseconds default_deadline{0};

    bool operator==(const node_values&) const = default;
};

struct account_entry
{
    std::string name;
    std::vector<std::string> key_sha256;

    bool operator==(const account_entry&) const = default;
};

struct settings_node
{
    std::string path;
    std::string parent; ///< Empty for the root.
    node_values own;
    std::vector<std::size_t> own_rows; ///< Rows of `node_schema` that the node sets itself.
    node_values effective;
    std::optional<account_entry> account;

    [[nodiscard]] bool sets(std::size_t row) const;

    bool operator==(const settings_node&) const = default;
};

struct settings_tree
{
    std::vector<service_policy> services;
    std::vector<settings_node> nodes;
    std::vector<std::string> domains_out;
    std::vector<std::string> endpoints_drained;

    /// Node with a path; null when there is none.
    [[nodiscard]] const settings_node* find(std::string_view path) const;

    bool operator==(const settings_tree&) const = default;
};

/// One effective setting of a node.
struct effective_value
{
    std::string key;
    std::string value;  ///< As in the settings text.
    std::string origin; ///< Path of the node that sets it; `default` when none does.

    auto operator<=>(const effective_value&) const = default;
};

/// Effective settings of a node with the origin of each value; empty when the node is unknown.
[[nodiscard]] std::vector<effective_value> effective_settings(const settings_tree& tree,
                                                              std::string_view path);

} // namespace mangovane

#endif

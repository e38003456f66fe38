// The settings tree written by operators, with the effective settings of each node.
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

/// Settings that a node inherits from its parent and may override. Members are named after the
/// keys of the settings text; 0 means no limit.
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
    std::vector<std::string> key_sha256; ///< Hashes of the caller keys, lower-case hexadecimal.

    bool operator==(const account_entry&) const = default;
};

struct settings_node
{
    std::string path;
    std::string parent; ///< Empty for the root.
    node_values own;
    std::vector<std::size_t> own_rows; ///< Indices in `node_schema` of the settings in `own`.
    node_values effective;
    std::optional<account_entry> account;

    /// Whether the node itself sets the setting with this index in `node_schema`.
    [[nodiscard]] bool sets(std::size_t row) const;

    bool operator==(const settings_node&) const = default;
};

struct settings_tree
{
    std::vector<service_policy> services;
    std::vector<settings_node> nodes;
    std::vector<std::string> domains_out;
    std::vector<std::string> endpoints_drained;

    /// The node with this path; null if there is none.
    [[nodiscard]] const settings_node* find(std::string_view path) const;

    bool operator==(const settings_tree&) const = default;
};

/// One effective setting of a node, and the node that defines it.
struct effective_value
{
    std::string key;
    std::string value;  ///< Formatted as in the settings text.
    std::string origin; ///< Path of the node that sets it; `default` if none does.

    auto operator<=>(const effective_value&) const = default;
};

/// Effective settings of a node, in schema order; empty if the node does not exist.
[[nodiscard]] std::vector<effective_value> effective_settings(const settings_tree& tree,
                                                              std::string_view path);

} // namespace mangovane

#endif

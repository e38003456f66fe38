// Implementation of the settings tree and of effective settings with their origin.
#include "mangovane/settings/tree.hpp"

#include <algorithm>

#include "mangovane/settings/schema.hpp"

namespace mangovane
{

namespace
{

/// Path of the node that sets a value: the node itself or the nearest ancestor that does.
std::string origin_of(const settings_tree& tree, const settings_node* node, std::size_t row)
{
    while (node != nullptr && !node->sets(row))
    {
        node = tree.find(node->parent);
    }
    return node == nullptr ? "default" : node->path;
}

} // namespace

bool settings_node::sets(std::size_t row) const
{
    return std::find(own_rows.begin(), own_rows.end(), row) != own_rows.end();
}

const settings_node* settings_tree::find(std::string_view path) const
{
    const auto it = std::find_if(nodes.begin(), nodes.end(),
                                 [&](const settings_node& node) { return node.path == path; });
    return it == nodes.end() ? nullptr : &*it;
}

std::vector<effective_value> effective_settings(const settings_tree& tree, std::string_view path)
{
    std::vector<effective_value> result;
    const auto* node = tree.find(path);
    if (node == nullptr)
    {
        return result;
    }
    const auto rows = node_schema();
    for (std::size_t n = 0; n != rows.size(); ++n)
    {
        result.push_back({std::string{rows[n].key}, setting_text(rows[n], node->effective),
                          origin_of(tree, node, n)});
    }
    return result;
}

} // namespace mangovane

// Implementation of inheritance and of the checks of caps.
#include "mangovane/settings/tree_checks.hpp"

#include <utility>

#include <absl/container/flat_hash_map.h>
#include <absl/strings/str_cat.h>

#include "mangovane/settings/schema.hpp"

namespace mangovane::internal
{

namespace
{

using node_index = absl::flat_hash_map<std::string, std::size_t>;

node_index index_of(const unresolved_tree& tree)
{
    node_index result;
    for (std::size_t n = 0; n != tree.nodes.size(); ++n)
    {
        result.emplace(tree.nodes[n].value.path, n);
    }
    return result;
}

/// Resolves each node once, its ancestors first.
class resolver
{
public:
    resolver(unresolved_tree& tree, error_list& errors)
        : tree_{tree}, errors_{errors}, index_{index_of(tree)},
          states_(tree.nodes.size(), state::unvisited)
    {}

    void run()
    {
        for (std::size_t n = 0; n != tree_.nodes.size(); ++n)
        {
            resolve(n);
        }
    }

private:
    enum class state : std::uint8_t
    {
        unvisited,
        visiting, ///< On the path from the node being resolved to its root.
        resolved,
    };

    void resolve(std::size_t node)
    {
        std::vector<std::size_t> chain;
        std::optional<std::size_t> next = node;
        while (next && states_[*next] == state::unvisited)
        {
            states_[*next] = state::visiting;
            chain.push_back(*next);
            next = parent_of(*next);
        }
        if (next && states_[*next] == state::visiting)
        {
            errors_.add(tree_.nodes[chain.back()].location / "parent",
                        "parent: the parents form a cycle");
        }
        for (auto it = chain.rbegin(); it != chain.rend(); ++it)
        {
            apply(*it);
        }
    }

    std::optional<std::size_t> parent_of(std::size_t node)
    {
        const auto& [entry, location] = tree_.nodes[node];
        if (entry.parent.empty())
        {
            if (entry.path != "/")
            {
                errors_.add(location, "parent: missing");
            }
            return std::nullopt;
        }
        const auto it = index_.find(entry.parent);
        if (it == index_.end())
        {
            errors_.add(location / "parent", absl::StrCat("parent: unknown node ", entry.parent));
            return std::nullopt;
        }
        return it->second;
    }

    void apply(std::size_t node)
    {
        auto& entry = tree_.nodes[node].value;
        if (const auto it = index_.find(entry.parent); it != index_.end())
        {
            entry.effective = tree_.nodes[it->second].value.effective;
        }
        for (const auto row : entry.own_rows)
        {
            copy_setting(node_schema()[row], entry.own, entry.effective);
        }
        states_[node] = state::resolved;
    }

    unresolved_tree& tree_;
    error_list& errors_;
    node_index index_;
    std::vector<state> states_;
};

void check_node_caps(const located<settings_node>& node,
                     const settings_node& parent,
                     error_list& errors)
{
    for (const auto n : node.value.own_rows)
    {
        const auto& row = node_schema()[n];
        if (exceeds(row, node.value.effective, parent.effective))
        {
            errors.add(node.location / "settings" / row.key,
                       absl::StrCat(std::string{row.key}, ": ",
                                    setting_text(row, node.value.effective), " is above ",
                                    setting_text(row, parent.effective), " of the parent ",
                                    parent.path));
        }
    }
}

} // namespace

void resolve_inheritance(unresolved_tree& tree, error_list& errors)
{
    resolver{tree, errors}.run();
}

void check_caps(const unresolved_tree& tree, error_list& errors)
{
    const auto index = index_of(tree);
    for (const auto& it : tree.nodes)
    {
        if (const auto parent = index.find(it.value.parent); parent != index.end())
        {
            check_node_caps(it, tree.nodes[parent->second].value, errors);
        }
        if (it.value.effective.default_class < it.value.effective.highest_class)
        {
            errors.add(it.location / "settings", "class: is more urgent than highest_class");
        }
    }
}

} // namespace mangovane::internal

// Implementation of inheritance and caps.
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

node_index index_of(const raw_tree& tree)
{
    node_index result;
    for (std::size_t n = 0; n != tree.nodes.size(); ++n)
    {
        result.emplace(tree.nodes[n].value.path, n);
    }
    return result;
}

/// Resolves nodes from their root downwards, each once.
class resolver
{
public:
    resolver(raw_tree& tree, mistake_list& mistakes)
        : tree_{tree}, mistakes_{mistakes}, index_{index_of(tree)},
          states_(tree.nodes.size(), state::open)
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
        open,
        on_path, ///< Between the node in question and its root.
        resolved,
    };

    void resolve(std::size_t node)
    {
        std::vector<std::size_t> chain;
        std::optional<std::size_t> next = node;
        while (next && states_[*next] == state::open)
        {
            states_[*next] = state::on_path;
            chain.push_back(*next);
            next = parent_of(*next);
        }
        if (next && states_[*next] == state::on_path)
        {
            mistakes_.add(tree_.nodes[chain.back()].place / "parent",
                          "parent: the parents form a cycle");
        }
        for (auto it = chain.rbegin(); it != chain.rend(); ++it)
        {
            apply(*it);
        }
    }

    std::optional<std::size_t> parent_of(std::size_t node)
    {
        const auto& [entry, place] = tree_.nodes[node];
        if (entry.parent.empty())
        {
            if (entry.path != "/")
            {
                mistakes_.add(place, "parent: missing");
            }
            return std::nullopt;
        }
        const auto it = index_.find(entry.parent);
        if (it == index_.end())
        {
            mistakes_.add(place / "parent", absl::StrCat("parent: unknown node ", entry.parent));
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

    raw_tree& tree_;
    mistake_list& mistakes_;
    node_index index_;
    std::vector<state> states_;
};

void check_node_caps(const placed<settings_node>& node,
                     const settings_node& parent,
                     mistake_list& mistakes)
{
    for (const auto n : node.value.own_rows)
    {
        const auto& row = node_schema()[n];
        if (exceeds(row, node.value.effective, parent.effective))
        {
            mistakes.add(node.place / "settings" / row.key,
                         absl::StrCat(std::string{row.key}, ": ",
                                      setting_text(row, node.value.effective), " is above ",
                                      setting_text(row, parent.effective), " of the parent ",
                                      parent.path));
        }
    }
}

} // namespace

void resolve_inheritance(raw_tree& tree, mistake_list& mistakes)
{
    resolver{tree, mistakes}.run();
}

void check_caps(const raw_tree& tree, mistake_list& mistakes)
{
    const auto index = index_of(tree);
    for (const auto& it : tree.nodes)
    {
        if (const auto parent = index.find(it.value.parent); parent != index.end())
        {
            check_node_caps(it, tree.nodes[parent->second].value, mistakes);
        }
        if (it.value.effective.default_class < it.value.effective.highest_class)
        {
            mistakes.add(it.place / "settings", "class: is more urgent than highest_class");
        }
    }
}

} // namespace mangovane::internal

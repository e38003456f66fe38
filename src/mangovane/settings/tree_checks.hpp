// Checks across the entries of a tree: parents, inheritance, caps and names.
#ifndef MANGOVANE_SETTINGS_TREE_CHECKS_HPP
#define MANGOVANE_SETTINGS_TREE_CHECKS_HPP

#include <cstdint>
#include <string_view>

#include "mangovane/settings/error_list.hpp"
#include "mangovane/settings/tree_reader.hpp"

namespace mangovane::internal
{

using name_hash = std::uint64_t (*)(std::string_view) noexcept;

/// Sets the effective settings of all nodes; reports parents that are unknown or form a cycle.
void resolve_inheritance(unresolved_tree& tree, error_list& errors);

/// Reports capped settings above those of the parent, and default classes above the highest class.
void check_caps(const unresolved_tree& tree, error_list& errors);

/// Reports duplicate names, unknown references and different names with the same hash.
void check_names(const unresolved_tree& tree, name_hash hash, error_list& errors);

} // namespace mangovane::internal

#endif

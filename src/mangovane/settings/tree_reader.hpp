// Reads the JSON of a tree. Each entry is checked by itself; tree_checks compares the entries.
#ifndef MANGOVANE_SETTINGS_TREE_READER_HPP
#define MANGOVANE_SETTINGS_TREE_READER_HPP

#include <boost/json/fwd.hpp>

#include "mangovane/settings/error_list.hpp"
#include "mangovane/settings/tree.hpp"

namespace mangovane::internal
{

/// A list element with its place in the text.
template <class Value>
struct located
{
    Value value;
    setting_location location;
};

/// The entries of a tree before they are compared with each other.
struct unresolved_tree
{
    std::vector<located<service_policy>> services;
    std::vector<located<std::string>> models; ///< Models as the services name them.
    std::vector<located<settings_node>> nodes;
    std::vector<located<std::string>> domains_out;
    std::vector<located<std::string>> endpoints_drained;
};

[[nodiscard]] unresolved_tree read_tree(const boost::json::value& root, error_list& errors);

} // namespace mangovane::internal

#endif

// Reads the JSON of a tree. Each entry is checked by itself; tree_checks compares the entries.
#ifndef MANGOVANE_SETTINGS_TREE_READER_HPP
#define MANGOVANE_SETTINGS_TREE_READER_HPP

#include <boost/json/fwd.hpp>

#include "mangovane/settings/mistake_list.hpp"
#include "mangovane/settings/tree.hpp"

namespace mangovane::internal
{

/// A list element with its place in the text.
template <class Value>
struct placed
{
    Value value;
    named_place place;
};

/// The entries of a tree before they are compared with each other.
struct raw_tree
{
    std::vector<placed<service_policy>> services;
    std::vector<placed<std::string>> models; ///< Models as the services name them.
    std::vector<placed<settings_node>> nodes;
    std::vector<placed<std::string>> domains_out;
    std::vector<placed<std::string>> endpoints_drained;
};

[[nodiscard]] raw_tree read_tree(const boost::json::value& root, mistake_list& mistakes);

} // namespace mangovane::internal

#endif

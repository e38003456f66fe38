// Parses the JSON of a settings tree and checks each entry by itself; tree_checks.hpp checks the
// entries against each other.
#ifndef MANGOVANE_SETTINGS_TREE_READER_HPP
#define MANGOVANE_SETTINGS_TREE_READER_HPP

#include <boost/json/fwd.hpp>

#include "mangovane/settings/error_list.hpp"
#include "mangovane/settings/tree.hpp"

namespace mangovane::internal
{

/// A list element with its location in the text.
template <class Value>
struct located
{
    Value value;
    setting_location location;
};

/// The entries of a tree before inheritance is resolved and references are checked.
struct unresolved_tree
{
    std::vector<located<service_policy>> services;
    std::vector<located<std::string>> models; ///< Models that the services offer.
    std::vector<located<settings_node>> nodes;
    std::vector<located<std::string>> domains_out;
    std::vector<located<std::string>> endpoints_drained;
};

[[nodiscard]] unresolved_tree read_tree(const boost::json::value& root, error_list& errors);

} // namespace mangovane::internal

#endif

// Assigns a JSON value to the member that a schema row names.
#ifndef MANGOVANE_SETTINGS_SETTING_VALUE_HPP
#define MANGOVANE_SETTINGS_SETTING_VALUE_HPP

#include <optional>
#include <string>

#include <boost/json/fwd.hpp>

#include "mangovane/settings/schema.hpp"

namespace mangovane::internal
{

/// Assigns the value; returns an error description if it is invalid.
[[nodiscard]] std::optional<std::string> assign_setting(const setting_row<node_values>& row,
                                                        const boost::json::value& value,
                                                        node_values& out);
[[nodiscard]] std::optional<std::string> assign_setting(const setting_row<service_policy>& row,
                                                        const boost::json::value& value,
                                                        service_policy& out);

/// The elements of an array of non-empty strings; nothing for any other value.
[[nodiscard]] std::optional<std::vector<std::string>> string_list(const boost::json::value& value);

} // namespace mangovane::internal

#endif

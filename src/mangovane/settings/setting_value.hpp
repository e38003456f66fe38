// Reads one JSON value into the member that a schema row names.
#ifndef MANGOVANE_SETTINGS_SETTING_VALUE_HPP
#define MANGOVANE_SETTINGS_SETTING_VALUE_HPP

#include <optional>
#include <string>

#include <boost/json/fwd.hpp>

#include "mangovane/settings/schema.hpp"

namespace mangovane::internal
{

/// Sets the member; returns what is wrong with the value, if anything.
[[nodiscard]] std::optional<std::string> assign_setting(const setting_row<node_values>& row,
                                                        const boost::json::value& value,
                                                        node_values& out);
[[nodiscard]] std::optional<std::string> assign_setting(const setting_row<service_policy>& row,
                                                        const boost::json::value& value,
                                                        service_policy& out);

/// The strings of an array; nothing when the value is something else.
[[nodiscard]] std::optional<std::vector<std::string>> string_list(const boost::json::value& value);

} // namespace mangovane::internal

#endif

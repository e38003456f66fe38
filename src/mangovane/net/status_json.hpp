// JSON of the fleet's status, for the operators' interface and its client.
#ifndef MANGOVANE_NET_STATUS_JSON_HPP
#define MANGOVANE_NET_STATUS_JSON_HPP

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "mangovane/net/operator_status.hpp"

namespace mangovane
{

[[nodiscard]] std::string to_json(const fleet_status& status);
[[nodiscard]] absl::StatusOr<fleet_status> parse_status(std::string_view text);

} // namespace mangovane

#endif

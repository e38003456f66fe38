// JSON of the fleet status, for the operator API and its client.
#ifndef MANGOVANE_NET_STATUS_JSON_HPP
#define MANGOVANE_NET_STATUS_JSON_HPP

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "mangovane/net/operator_status.hpp"

namespace mangovane
{

/// Object with the arrays `instances` and `endpoints`.
[[nodiscard]] std::string to_json(const fleet_status& status);

/// Errors: `kDataLoss` if the text is malformed or lacks a field.
[[nodiscard]] absl::StatusOr<fleet_status> parse_status(std::string_view text);

} // namespace mangovane

#endif

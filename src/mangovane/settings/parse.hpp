// Parses the JSON text of a settings version into a snapshot.
#ifndef MANGOVANE_SETTINGS_PARSE_HPP
#define MANGOVANE_SETTINGS_PARSE_HPP

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include "mangovane/settings/snapshot.hpp"

namespace mangovane
{

/// Validates and resolves a text that `check_settings` has accepted before; duplicate keys are not
/// searched again. Error: malformed_request, listing every error on a line of its own, with line
/// number and node path.
[[nodiscard]] absl::StatusOr<settings_ptr> parse_settings(std::string text, store_revision version);

} // namespace mangovane

#endif

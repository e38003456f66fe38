// Reads the text of a settings version (JSON) into the form that decisions use.
#ifndef MANGOVANE_SETTINGS_PARSE_HPP
#define MANGOVANE_SETTINGS_PARSE_HPP

#include <cstdint>
#include <string>

#include <absl/status/statusor.h>

#include "mangovane/settings/snapshot.hpp"

namespace mangovane
{

/// Checks and resolves an accepted tree; `check_settings` also finds keys that stand twice. The
/// status names every mistake, one a line, with node path and line.
[[nodiscard]] absl::StatusOr<settings_ptr> parse_settings(std::string text, std::uint64_t version);

} // namespace mangovane

#endif

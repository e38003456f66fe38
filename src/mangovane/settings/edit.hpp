// Edits a settings text without reformatting it, and compares two texts by line.
#ifndef MANGOVANE_SETTINGS_EDIT_HPP
#define MANGOVANE_SETTINGS_EDIT_HPP

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace mangovane
{

/// Edit of a list of names.
enum class list_edit : bool
{
    remove,
    add,
};

/// Adds a name to a top-level list such as `domains_out`, or removes it. Returns the text unchanged
/// when the list already has the requested state. Error: InvalidArgument for an invalid text.
[[nodiscard]] absl::StatusOr<std::string>
edit_list(std::string_view text, std::string_view key, std::string_view name, list_edit edit);

/// Differing lines, prefixed with `-` (only in `before`) or `+` (only in `after`); empty when the
/// texts are equal.
[[nodiscard]] std::string line_diff(std::string_view before, std::string_view after);

} // namespace mangovane

#endif

// Edits of a settings text that keep its formatting, and the comparison of two texts.
#ifndef MANGOVANE_SETTINGS_EDIT_HPP
#define MANGOVANE_SETTINGS_EDIT_HPP

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace mangovane
{

/// Whether a name has to be in a list.
enum class list_edit : bool
{
    remove,
    add,
};

/// Puts a name into a top-level list such as `domains_out`, or takes it out. Returns the text
/// unchanged when nothing has to be done, and an error when the text is not valid.
[[nodiscard]] absl::StatusOr<std::string>
edit_list(std::string_view text, std::string_view key, std::string_view name, list_edit edit);

/// Lines that differ, with `-` and `+` in front; empty when the texts are equal.
[[nodiscard]] std::string line_diff(std::string_view before, std::string_view after);

} // namespace mangovane

#endif

// The option that switches admission on.
#ifndef MANGOVANE_DAEMON_ADMISSION_OPTION_HPP
#define MANGOVANE_DAEMON_ADMISSION_OPTION_HPP

#include <optional>
#include <string_view>

namespace mangovane
{

/// Whether the text switches admission on: `queue` does, `off` does not, and a list of words does
/// if it contains `pressure`. The words are separated by commas, or form a JSON list. Nothing if
/// the text is none of these.
[[nodiscard]] std::optional<bool> find_admission(std::string_view text);

} // namespace mangovane

#endif

// An error in a settings text.
#ifndef MANGOVANE_SETTINGS_SETTINGS_ERROR_HPP
#define MANGOVANE_SETTINGS_SETTINGS_ERROR_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace mangovane
{

struct settings_error
{
    std::uint32_t line{1};
    std::string where; ///< Path of the node, `services/NAME` or a top-level key.
    std::string text;  ///< Description without line and location.

    auto operator<=>(const settings_error&) const = default;
};

/// One line for each error: `line 7: /parish: burst: ...`.
[[nodiscard]] std::string to_text(const std::vector<settings_error>& errors);

} // namespace mangovane

#endif

// Reads a settings text and checks it; reports all mistakes at once.
#ifndef MANGOVANE_SETTINGS_CHECK_HPP
#define MANGOVANE_SETTINGS_CHECK_HPP

#include <cstdint>
#include <string_view>
#include <vector>

#include "mangovane/settings/settings_error.hpp"
#include "mangovane/settings/tree.hpp"

namespace mangovane
{

struct checked_settings
{
    settings_tree tree; ///< Complete only when there are no mistakes.
    std::vector<settings_error> errors;

    [[nodiscard]] bool valid() const noexcept { return errors.empty(); }

    bool operator==(const checked_settings&) const = default;
};

enum class check_scope : std::uint8_t
{
    full,
    accepted, ///< The text passed a full check: keys that stand twice are not looked for again.
};

/// Mistakes are in order of their lines.
[[nodiscard]] checked_settings check_settings(std::string_view text,
                                              check_scope scope = check_scope::full);

} // namespace mangovane

#endif

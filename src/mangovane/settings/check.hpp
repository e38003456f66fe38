// Reads a settings text and checks it; reports all mistakes at once.
#ifndef MANGOVANE_SETTINGS_CHECK_HPP
#define MANGOVANE_SETTINGS_CHECK_HPP

#include <string_view>
#include <vector>

#include "mangovane/settings/mistake.hpp"
#include "mangovane/settings/tree.hpp"

namespace mangovane
{

struct checked_settings
{
    settings_tree tree; ///< Complete only when there are no mistakes.
    std::vector<settings_mistake> mistakes;

    [[nodiscard]] bool valid() const noexcept { return mistakes.empty(); }

    bool operator==(const checked_settings&) const = default;
};

/// Mistakes are in order of their lines.
[[nodiscard]] checked_settings check_settings(std::string_view text);

} // namespace mangovane

#endif

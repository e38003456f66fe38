// Parses and validates a settings text; reports all errors at once.
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
    settings_tree tree; ///< Complete only when there are no errors.
    std::vector<settings_error> errors;

    [[nodiscard]] bool valid() const noexcept { return errors.empty(); }

    bool operator==(const checked_settings&) const = default;
};

enum class check_scope : std::uint8_t
{
    full,
    /// Does not search for duplicate keys; for a text that has passed a full check.
    without_duplicate_keys,
};

/// Parses a text and resolves inheritance. Errors are ordered by line.
[[nodiscard]] checked_settings check_settings(std::string_view text,
                                              check_scope scope = check_scope::full);

} // namespace mangovane

#endif

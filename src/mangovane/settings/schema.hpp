// Schema of the settings: one table for nodes and one for services. Validation, inheritance,
// effective settings and the reference page are derived from these tables.
#ifndef MANGOVANE_SETTINGS_SCHEMA_HPP
#define MANGOVANE_SETTINGS_SCHEMA_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mangovane/settings/tree.hpp"

namespace mangovane
{

/// Member that stores a setting. The type of the member is the type of the setting.
template <class Owner>
using setting_field = std::variant<bool Owner::*,
                                   double Owner::*,
                                   std::uint16_t Owner::*,
                                   std::uint32_t Owner::*,
                                   milliseconds Owner::*,
                                   seconds Owner::*,
                                   request_class Owner::*,
                                   service_kind Owner::*,
                                   std::vector<std::string> Owner::*,
                                   std::vector<model_id> Owner::*,
                                   std::array<std::uint32_t, request_class_count> Owner::*>;

/// What the elements of a list refer to.
enum class reference_kind : std::uint8_t
{
    none,
    model,
    service,
    domain,
};

/// Whether a child may exceed its parent.
enum class cap_rule : std::uint8_t
{
    uncapped,
    capped,
};

/// Allowed numbers, both ends included; ignored for settings that are not numbers.
struct setting_range
{
    double lowest{0};
    double highest{0};

    auto operator<=>(const setting_range&) const = default;
};

/// Definition of one setting.
template <class Owner>
struct setting_row
{
    std::string_view key;
    setting_field<Owner> field;
    setting_range range;
    std::string_view unit;
    cap_rule cap{cap_rule::uncapped};
    reference_kind refers_to{reference_kind::none};
    std::string_view help;
};

[[nodiscard]] std::span<const setting_row<node_values>> node_schema() noexcept;
[[nodiscard]] std::span<const setting_row<service_policy>> service_schema() noexcept;

/// Formats a number as in a settings text, integers without an exponent.
[[nodiscard]] std::string number_text(double value);

/// Formats the value of a setting as in a settings text.
[[nodiscard]] std::string setting_text(const setting_row<node_values>& row,
                                       const node_values& values);

void copy_setting(const setting_row<node_values>& row, const node_values& from, node_values& to);

/// Whether a capped setting grants the child more than its parent. 0 and an empty list mean no
/// limit.
[[nodiscard]] bool
exceeds(const setting_row<node_values>& row, const node_values& child, const node_values& parent);

/// The reference page in Markdown.
[[nodiscard]] std::string schema_markdown();

} // namespace mangovane

#endif

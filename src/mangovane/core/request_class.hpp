// Request classes, from the highest to the lowest priority.
#ifndef MANGOVANE_CORE_REQUEST_CLASS_HPP
#define MANGOVANE_CORE_REQUEST_CLASS_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace mangovane
{

enum class request_class : std::uint8_t
{
    interactive, ///< A user waits for the answer.
    standard,
    overnight, ///< May be delayed, but must complete.
};

inline constexpr std::size_t request_class_count = 3;

inline constexpr std::array<std::string_view, request_class_count> request_class_names{
    "interactive", "standard", "overnight"};

[[nodiscard]] constexpr std::string_view to_string(request_class value) noexcept
{
    return request_class_names[static_cast<std::size_t>(value)];
}

[[nodiscard]] constexpr std::optional<request_class>
request_class_from(std::string_view name) noexcept
{
    for (std::size_t n = 0; n != request_class_count; ++n)
    {
        if (request_class_names[n] == name)
        {
            return static_cast<request_class>(n);
        }
    }
    return std::nullopt;
}

} // namespace mangovane

#endif

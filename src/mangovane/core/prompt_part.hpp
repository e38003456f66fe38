// Part of a prompt, as callers name it.
#ifndef MANGOVANE_CORE_PROMPT_PART_HPP
#define MANGOVANE_CORE_PROMPT_PART_HPP

#include <compare>
#include <cstdint>
#include <span>
#include <string>

namespace mangovane
{

/// One part of a prompt. Requests whose first parts are equal share a prefix.
struct prompt_part
{
    /// As the caller names it, where that is a number of 64 bits; otherwise the hash of the name.
    std::uint64_t id{0};
    std::uint32_t tokens{0};

    auto operator<=>(const prompt_part&) const = default;
};

/// Ids of parts in hexadecimal, separated by commas, for logs; "none" when there are none.
[[nodiscard]] std::string part_ids_text(std::span<const prompt_part> parts);

} // namespace mangovane

#endif

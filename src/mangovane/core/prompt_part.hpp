// Part of a prompt, as callers name it.
#ifndef MANGOVANE_CORE_PROMPT_PART_HPP
#define MANGOVANE_CORE_PROMPT_PART_HPP

#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

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

/// What a prompt has in common with those of other requests.
struct prompt_identity
{
    /// The parts that other requests may share. Valid as long as the request.
    std::span<const prompt_part> shared;
    /// Hash of all parts, which only the same request has when it comes again; 0: no prompt.
    std::uint64_t whole{0};
};

/// Id of a part by the name that callers give it: the number that the name denotes in hexadecimal,
/// so that logs and operators' pages show it as the caller wrote it; the hash of any other name.
[[nodiscard]] std::uint64_t prompt_part_id(std::string_view name);

/// Ids of parts in hexadecimal, separated by commas, for logs; "none" when there are none.
[[nodiscard]] std::string part_ids_text(std::span<const prompt_part> parts);

} // namespace mangovane

#endif

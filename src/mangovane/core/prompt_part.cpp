// Implementation of the text of prompt parts.
#include "mangovane/core/prompt_part.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

std::uint64_t prompt_part_id(std::string_view name)
{
    std::uint64_t id = 0;
    return absl::SimpleHexAtoi({name.data(), name.size()}, &id) ? id : hash_bytes(name);
}

std::string part_ids_text(std::span<const prompt_part> parts)
{
    std::string result;
    for (const auto& it : parts)
    {
        absl::StrAppend(&result, result.empty() ? "" : ",", absl::Hex(it.id));
    }
    return result.empty() ? "none" : result;
}

} // namespace mangovane

// Implementation of the text of prompt parts.
#include "mangovane/core/prompt_part.hpp"

#include <absl/strings/str_cat.h>

namespace mangovane
{

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

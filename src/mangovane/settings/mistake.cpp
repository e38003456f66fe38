// Implementation of mistakes and their list.
#include "mangovane/settings/mistake.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "mangovane/settings/mistake_list.hpp"

namespace mangovane
{

std::string to_text(const std::vector<settings_mistake>& mistakes)
{
    return absl::StrJoin(mistakes, "\n",
                         [](std::string* out, const settings_mistake& it) {
                             absl::StrAppend(out, "line ", it.line, ": ", it.where, ": ", it.text);
                         });
}

std::vector<settings_mistake> internal::mistake_list::with_lines(const position_index& index) const
{
    std::vector<settings_mistake> result;
    result.reserve(found_.size());
    for (const auto& [place, text] : found_)
    {
        result.push_back({index.line_of(place.path), place.where, text});
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const settings_mistake& lhs, const settings_mistake& rhs)
                     { return lhs.line < rhs.line; });
    return result;
}

} // namespace mangovane

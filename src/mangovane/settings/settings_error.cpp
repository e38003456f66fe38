// Implementation of settings errors and their list.
#include "mangovane/settings/settings_error.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include "mangovane/settings/error_list.hpp"

namespace mangovane
{

std::string to_text(const std::vector<settings_error>& errors)
{
    return absl::StrJoin(errors, "\n",
                         [](std::string* out, const settings_error& it) {
                             absl::StrAppend(out, "line ", it.line, ": ", it.where, ": ", it.text);
                         });
}

std::vector<settings_error> internal::error_list::with_lines(const position_index& index) const
{
    std::vector<settings_error> result;
    result.reserve(entries_.size());
    for (const auto& [location, text] : entries_)
    {
        result.push_back({index.line_of(location.path), location.where, text});
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const settings_error& lhs, const settings_error& rhs)
                     { return lhs.line < rhs.line; });
    return result;
}

} // namespace mangovane

// Implementation of text edits and of the line diff.
#include "mangovane/settings/edit.hpp"

#include <algorithm>
#include <cstdint>
#include <vector>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <boost/json.hpp>

#include "mangovane/settings/check.hpp"
#include "mangovane/settings/position_index.hpp"

namespace mangovane
{

namespace
{

namespace json = boost::json;

/// Maximum cells of the table that compares lines; larger texts are shown as replaced as a whole.
constexpr std::size_t max_diff_cells = 16'000'000;

using lines = std::vector<std::string_view>;

lines split(std::string_view text)
{
    lines result;
    for (const auto it : absl::StrSplit(absl::string_view{text.data(), text.size()}, '\n'))
    {
        result.emplace_back(it.data(), it.size());
    }
    return result;
}

/// Removes the common lines at the start and the end of both texts.
void trim_common(lines& before, lines& after)
{
    const auto [lhs, rhs] = std::mismatch(before.begin(), before.end(), after.begin(), after.end());
    before.erase(before.begin(), lhs);
    after.erase(after.begin(), rhs);
    while (!before.empty() && !after.empty() && before.back() == after.back())
    {
        before.pop_back();
        after.pop_back();
    }
}

void append_line(std::string& out, char mark, std::string_view line)
{
    out += mark;
    out += line;
    out += '\n';
}

/// Lengths of the longest common subsequences of all pairs of suffixes, in row-major order.
std::vector<std::uint32_t> common_lengths(const lines& before, const lines& after)
{
    const auto width = after.size() + 1;
    std::vector<std::uint32_t> result((before.size() + 1) * width, 0);
    for (auto n = before.size(); n-- != 0;)
    {
        for (auto m = after.size(); m-- != 0;)
        {
            result[n * width + m] = before[n] == after[m] ? result[(n + 1) * width + m + 1] + 1
                                                          : std::max(result[(n + 1) * width + m],
                                                                     result[n * width + m + 1]);
        }
    }
    return result;
}

std::string minimal_diff(const lines& before, const lines& after)
{
    const auto lengths = common_lengths(before, after);
    const auto width = after.size() + 1;
    std::string result;
    std::size_t n = 0;
    std::size_t m = 0;
    while (n != before.size() || m != after.size())
    {
        if (n != before.size() && m != after.size() && before[n] == after[m])
        {
            ++n;
            ++m;
        }
        else if (m == after.size() ||
                 (n != before.size() && lengths[(n + 1) * width + m] >= lengths[n * width + m + 1]))
        {
            append_line(result, '-', before[n++]);
        }
        else
        {
            append_line(result, '+', after[m++]);
        }
    }
    return result;
}

std::string replace_all(const lines& before, const lines& after)
{
    std::string result;
    for (const auto it : before)
    {
        append_line(result, '-', it);
    }
    for (const auto it : after)
    {
        append_line(result, '+', it);
    }
    return result;
}

std::string list_text(const std::vector<std::string>& names)
{
    json::array list;
    for (const auto& it : names)
    {
        list.emplace_back(it);
    }
    return json::serialize(list);
}

std::vector<std::string> names_in(std::string_view text, std::string_view key)
{
    const auto root = json::parse(json::string_view{text.data(), text.size()});
    const auto* list = root.as_object().if_contains(json::string_view{key.data(), key.size()});
    return list == nullptr ? std::vector<std::string>{}
                           : json::value_to<std::vector<std::string>>(*list);
}

/// Replaces the value of a top-level key; a new key is inserted as the first.
std::string set_value(std::string_view text, std::string_view key, const std::string& value)
{
    std::string result{text};
    const position_index index{text};
    if (const auto* span = index.find(json_path{} / key))
    {
        return result.replace(span->begin, span->end - span->begin, value);
    }
    const auto at = result.find('{') + 1;
    return result.insert(at, absl::StrCat("\n  \"", std::string{key}, "\": ", value, ","));
}

} // namespace

absl::StatusOr<std::string>
edit_list(std::string_view text, std::string_view key, std::string_view name, list_edit edit)
{
    if (const auto checked = check_settings(text); !checked.valid())
    {
        return absl::InvalidArgumentError(to_text(checked.errors));
    }
    auto names = names_in(text, key);
    const auto it = std::find(names.begin(), names.end(), name);
    const bool present = it != names.end();
    if (present == (edit == list_edit::add))
    {
        return std::string{text};
    }
    if (edit == list_edit::add)
    {
        names.emplace_back(name);
    }
    else
    {
        names.erase(it);
    }
    return set_value(text, key, list_text(names));
}

std::string line_diff(std::string_view before, std::string_view after)
{
    auto old_lines = split(before);
    auto new_lines = split(after);
    trim_common(old_lines, new_lines);
    const bool large = (old_lines.size() + 1) * (new_lines.size() + 1) > max_diff_cells;
    return large ? replace_all(old_lines, new_lines) : minimal_diff(old_lines, new_lines);
}

} // namespace mangovane

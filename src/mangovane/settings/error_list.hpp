// Collects mistakes by place in the text while a tree is read; lines are looked up at the end.
#ifndef MANGOVANE_SETTINGS_ERROR_LIST_HPP
#define MANGOVANE_SETTINGS_ERROR_LIST_HPP

#include <string>
#include <utility>
#include <vector>

#include "mangovane/settings/position_index.hpp"
#include "mangovane/settings/settings_error.hpp"

namespace mangovane::internal
{

/// A place in the text and how operators know it.
struct setting_location
{
    json_path path;
    std::string where;

    [[nodiscard]] setting_location operator/(std::string_view key) const
    {
        return {path / key, where};
    }
    [[nodiscard]] setting_location operator/(std::size_t index) const
    {
        return {path / index, where};
    }
};

class error_list
{
public:
    void add(setting_location location, std::string text)
    {
        found_.emplace_back(std::move(location), std::move(text));
    }

    [[nodiscard]] bool empty() const noexcept { return found_.empty(); }

    /// All mistakes with their lines, in order of lines.
    [[nodiscard]] std::vector<settings_error> with_lines(const position_index& index) const;

private:
    std::vector<std::pair<setting_location, std::string>> found_;
};

} // namespace mangovane::internal

#endif

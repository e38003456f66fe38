// Collects mistakes by place in the text while a tree is read; lines are looked up at the end.
#ifndef MANGOVANE_SETTINGS_MISTAKE_LIST_HPP
#define MANGOVANE_SETTINGS_MISTAKE_LIST_HPP

#include <string>
#include <utility>
#include <vector>

#include "mangovane/settings/mistake.hpp"
#include "mangovane/settings/position_index.hpp"

namespace mangovane::internal
{

/// A place in the text and how operators know it.
struct named_place
{
    text_path path;
    std::string where;

    [[nodiscard]] named_place operator/(std::string_view key) const { return {path / key, where}; }
    [[nodiscard]] named_place operator/(std::size_t index) const { return {path / index, where}; }
};

class mistake_list
{
public:
    void add(named_place place, std::string text)
    {
        found_.emplace_back(std::move(place), std::move(text));
    }

    [[nodiscard]] bool empty() const noexcept { return found_.empty(); }

    /// All mistakes with their lines, in order of lines.
    [[nodiscard]] std::vector<settings_mistake> with_lines(const position_index& index) const;

private:
    std::vector<std::pair<named_place, std::string>> found_;
};

} // namespace mangovane::internal

#endif

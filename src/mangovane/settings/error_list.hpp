// Collects errors by JSON path while a tree is parsed; line numbers are looked up at the end.
#ifndef MANGOVANE_SETTINGS_ERROR_LIST_HPP
#define MANGOVANE_SETTINGS_ERROR_LIST_HPP

#include <string>
#include <utility>
#include <vector>

#include "mangovane/settings/position_index.hpp"
#include "mangovane/settings/settings_error.hpp"

namespace mangovane::internal
{

/// Location of a value: its JSON path, and the name of the node or service that is reported.
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
        entries_.emplace_back(std::move(location), std::move(text));
    }

    [[nodiscard]] bool empty() const noexcept { return entries_.empty(); }

    /// All errors with their line numbers, ordered by line.
    [[nodiscard]] std::vector<settings_error> with_lines(const position_index& index) const;

private:
    std::vector<std::pair<setting_location, std::string>> entries_;
};

} // namespace mangovane::internal

#endif

// Formatting of tables.
#include "ctl/output.hpp"

#include <algorithm>
#include <iostream>

namespace mangovane::ctl
{

namespace
{

std::string cell_text(const boost::json::value& value)
{
    return value.is_string() ? std::string{value.get_string().data(), value.get_string().size()}
                             : boost::json::serialize(value);
}

std::vector<std::vector<std::string>> cells_of(const result_table& table)
{
    std::vector<std::vector<std::string>> result{table.columns};
    for (const auto& row : table.rows)
    {
        auto& cells = result.emplace_back();
        std::transform(row.begin(), row.end(), std::back_inserter(cells), cell_text);
    }
    return result;
}

} // namespace

std::string to_text(const result_table& table)
{
    const auto cells = cells_of(table);
    std::vector<std::size_t> widths(table.columns.size(), 0);
    for (const auto& row : cells)
    {
        for (std::size_t n = 0; n != row.size(); ++n)
        {
            widths[n] = std::max(widths[n], row[n].size());
        }
    }
    std::string result;
    for (const auto& row : cells)
    {
        for (std::size_t n = 0; n + 1 != row.size(); ++n)
        {
            result += row[n] + std::string(widths[n] - row[n].size() + 2, ' ');
        }
        result += row.back() + "\n";
    }
    return result;
}

boost::json::array to_json(const result_table& table)
{
    boost::json::array result;
    for (const auto& row : table.rows)
    {
        boost::json::object obj;
        for (std::size_t n = 0; n != row.size(); ++n)
        {
            obj[table.columns[n]] = row[n];
        }
        result.push_back(std::move(obj));
    }
    return result;
}

void print(const result_table& table, bool json)
{
    if (json)
    {
        std::cout << to_json(table) << '\n';
    }
    else
    {
        std::cout << to_text(table);
    }
}

} // namespace mangovane::ctl

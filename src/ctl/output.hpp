// Output of results, as an aligned table or as JSON.
#ifndef MANGOVANE_CTL_OUTPUT_HPP
#define MANGOVANE_CTL_OUTPUT_HPP

#include <string>
#include <vector>

#include <boost/json.hpp>

namespace mangovane::ctl
{

struct result_table
{
    std::vector<std::string> columns;
    std::vector<boost::json::array> rows; ///< Each as long as `columns`.
};

/// Lines with aligned columns.
[[nodiscard]] std::string to_text(const result_table& table);

/// Array of objects with the columns as keys.
[[nodiscard]] boost::json::array to_json(const result_table& table);

/// Prints to standard output.
void print(const result_table& table, bool json);

} // namespace mangovane::ctl

#endif

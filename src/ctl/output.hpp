// Output of results as an aligned table or as JSON.
#ifndef MANGOVANE_CTL_OUTPUT_HPP
#define MANGOVANE_CTL_OUTPUT_HPP

#include <string>
#include <vector>

#include <boost/json.hpp>

namespace mangovane::ctl
{

/// Rows of JSON values under named columns.
struct result_table
{
    std::vector<std::string> columns;
    std::vector<boost::json::array> rows; ///< Each as long as `columns`.
};

/// A header line and one line per row, with aligned columns.
[[nodiscard]] std::string to_text(const result_table& table);

/// One object per row, with the columns as keys.
[[nodiscard]] boost::json::array to_json(const result_table& table);

/// Prints the table to standard output.
void print(const result_table& table, bool json);

} // namespace mangovane::ctl

#endif

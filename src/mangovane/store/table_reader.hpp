// Reading of a table of rows with revisions, as a store outside offers it.
#ifndef MANGOVANE_STORE_TABLE_READER_HPP
#define MANGOVANE_STORE_TABLE_READER_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "mangovane/core/time.hpp"

namespace mangovane
{

struct store_row
{
    std::string key;
    std::string value; ///< Decoded bytes.
    std::uint64_t revision{0};
    bool removed{false};

    auto operator<=>(const store_row&) const = default;
};

/// Answer to a read.
struct store_rows
{
    std::vector<store_row> rows;
    std::uint64_t revision{0}; ///< Of the store when it answered.
    bool more{false};          ///< The list goes on after the last key.

    bool operator==(const store_rows&) const = default;
};

/// Errors: OutOfRange when the store no longer has the history asked for; ResourceExhausted beyond
/// the store's rate; Unavailable or DeadlineExceeded when there is no answer.
class table_reader
{
public:
    using rows_handler = std::function<void(absl::StatusOr<store_rows>)>;

    virtual ~table_reader() = default;

    /// Rows of a table with keys from `from` on, as of one moment.
    virtual void list(const std::string& table,
                      const std::string& from,
                      time_point deadline,
                      rows_handler done) = 0;

    /// Changes of a table after a revision; the store waits for one for as long as `wait`.
    virtual void changes(const std::string& table,
                         std::uint64_t since,
                         milliseconds wait,
                         time_point deadline,
                         rows_handler done) = 0;
};

} // namespace mangovane

#endif

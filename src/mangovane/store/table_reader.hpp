// Interface for reading tables of an external store whose rows have revisions. It is for the store
// of the users' platform; table_service.hpp is for the generic platform.
#ifndef MANGOVANE_STORE_TABLE_READER_HPP
#define MANGOVANE_STORE_TABLE_READER_HPP

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "mangovane/core/store_revision.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

struct store_row
{
    std::string key;
    std::string value; ///< Decoded bytes.
    store_revision revision;
    bool removed{false};

    auto operator<=>(const store_row&) const = default;
};

/// Response to a read.
struct store_rows
{
    std::vector<store_row> rows;
    store_revision revision; ///< Revision of the store at the time of the response.
    bool more{false};        ///< The list continues after the last key.
    milliseconds now{0};     ///< The store's clock; 0: not stated.

    bool operator==(const store_rows&) const = default;
};

/// Errors: OutOfRange when the store has discarded the requested history; ResourceExhausted when
/// its rate limit is exceeded; Unavailable or DeadlineExceeded when there is no response.
class table_reader
{
public:
    using rows_handler = std::function<void(absl::StatusOr<store_rows>)>;

    virtual ~table_reader() = default;

    /// Reads the rows of a table with keys from `from` on, as a consistent snapshot.
    virtual void list(const std::string& table,
                      const std::string& from,
                      time_point deadline,
                      rows_handler done) = 0;

    /// Reads the changes of a table after the number `since`; the store waits up to `wait` for one
    /// (long poll).
    virtual void changes(const std::string& table,
                         std::uint64_t since,
                         milliseconds wait,
                         time_point deadline,
                         rows_handler done) = 0;
};

} // namespace mangovane

#endif

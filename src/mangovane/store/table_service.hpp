// Interfaces to the platform: a transactional table, an object store and the discovery of instances
// and endpoints. Calls are asynchronous; every handler is called exactly once, never from inside
// the call.
#ifndef MANGOVANE_STORE_TABLE_SERVICE_HPP
#define MANGOVANE_STORE_TABLE_SERVICE_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "mangovane/core/time.hpp"
#include "mangovane/membership/endpoint.hpp"
#include "mangovane/membership/member_table.hpp"

namespace mangovane
{

/// A row of the table. `revision` increases with each write of the row.
struct table_row
{
    std::string key;
    std::string value;
    std::uint64_t revision{0};

    auto operator<=>(const table_row&) const = default;
};

/// A conditional write: the row must have this revision; 0 means that the row must not exist.
struct table_write
{
    std::string key;
    std::string value;
    std::uint64_t expected_revision{0};

    auto operator<=>(const table_write&) const = default;
};

/// Result of one conditional write.
struct write_result
{
    bool applied{false};
    table_row current; ///< The row after the write, or the row that failed the condition.

    auto operator<=>(const write_result&) const = default;
};

/// Transactional table of the platform.
class table_service
{
public:
    using read_handler = std::function<void(absl::StatusOr<std::optional<table_row>>)>;
    using write_handler = std::function<void(absl::StatusOr<std::vector<write_result>>)>;

    virtual ~table_service() = default;

    /// Reads a row; nothing if it does not exist.
    virtual void read(std::string key, time_point deadline, read_handler handler) = 0;

    /// Applies each write whose condition holds, also if that of another one fails, all in one
    /// transaction. The results have the order of the writes. After an error the writes may or may
    /// not have taken effect.
    virtual void
    write(std::vector<table_write> writes, time_point deadline, write_handler handler) = 0;
};

/// Named objects of any bytes. Reading an unknown name is an error.
class object_store
{
public:
    using get_handler = std::function<void(absl::StatusOr<std::string>)>;
    using put_handler = std::function<void(absl::Status)>;

    virtual ~object_store() = default;
    virtual void get(std::string name, time_point deadline, get_handler handler) = 0;
    virtual void
    put(std::string name, std::string content, time_point deadline, put_handler handler) = 0;
};

/// The platform's list of instances and endpoints. It may be out of date.
struct discovery_list
{
    std::vector<listed_instance> instances;
    std::vector<endpoint_info> endpoints;

    bool operator==(const discovery_list&) const = default;
};

/// Lists the instances and endpoints of the fleet.
class discovery_service
{
public:
    using handler = std::function<void(absl::StatusOr<discovery_list>)>;

    virtual ~discovery_service() = default;
    virtual void fetch(time_point deadline, handler handler) = 0;
};

} // namespace mangovane

#endif

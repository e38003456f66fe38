// Interface to the rows about rollouts in an external store.
#ifndef MANGOVANE_STORE_ROLLOUT_TABLE_HPP
#define MANGOVANE_STORE_ROLLOUT_TABLE_HPP

#include <functional>
#include <string>

#include <absl/container/flat_hash_map.h>
#include <absl/status/statusor.h>

#include "mangovane/rollout/rollout_status.hpp"

namespace mangovane
{

/// The rows of all services.
struct rollout_listing
{
    absl::flat_hash_map<std::string, rollout_rows> services; ///< By name.
    milliseconds now{0};                                     ///< The store's clock.

    bool operator==(const rollout_listing&) const = default;
};

/// Handlers are called after the call that they were passed to has returned. Errors of reads:
/// ResourceExhausted when the store's rate limit is exceeded; Unavailable or DeadlineExceeded when
/// there is no response. Writes also have FailedPrecondition when a row has another revision. A
/// write without a response may have taken effect or may take effect later.
class rollout_table
{
public:
    using listing_handler = std::function<void(absl::StatusOr<rollout_listing>)>;
    using write_handler = std::function<void(absl::Status)>;

    virtual ~rollout_table() = default;

    virtual void read(time_point deadline, listing_handler done) = 0;

    /// Writes both rows of a service, or none.
    virtual void write(const rollout_write& rows, time_point deadline, write_handler done) = 0;
};

} // namespace mangovane

#endif

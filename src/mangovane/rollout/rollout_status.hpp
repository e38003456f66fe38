// What a reader of the store writes about a rollout: the status for the operators, and the system's
// own row, which fixes the deadline. Tolerates writers that are lost, paused or late: each write
// replaces only what its writer has read, and a final status is never replaced for the same order.
#ifndef MANGOVANE_ROLLOUT_ROLLOUT_STATUS_HPP
#define MANGOVANE_ROLLOUT_ROLLOUT_STATUS_HPP

#include <compare>
#include <optional>
#include <string>

#include "mangovane/rollout/rollout_registry.hpp"

namespace mangovane
{

/// Status of a rollout as operators read it.
struct rollout_status
{
    std::string version; ///< To which the traffic moves.
    rollout_state state{rollout_state::running};

    auto operator<=>(const rollout_status&) const = default;
};

/// The system's own record of an order.
struct rollout_progress
{
    store_revision order;
    std::string version;
    milliseconds deadline{0}; ///< On the store's clock.

    auto operator<=>(const rollout_progress&) const = default;
};

/// A row as it was read.
template <typename Value>
struct stored_value
{
    store_revision revision;    ///< Not known: the row does not exist.
    std::optional<Value> value; ///< No value: the row does not exist or cannot be read.

    auto operator<=>(const stored_value&) const = default;
};

/// Both rows of one service.
struct rollout_rows
{
    stored_value<rollout_status> status;
    stored_value<rollout_progress> progress;

    auto operator<=>(const rollout_rows&) const = default;
};

/// The same moment on the store's clock and on the clock of this instance.
struct store_time
{
    milliseconds store_now{0};
    time_point read_at;

    auto operator<=>(const store_time&) const = default;
};

/// Both rows of a service, to be written together if the rows still have the revisions that were
/// read.
struct rollout_write
{
    std::string service_name;
    store_revision status_revision;   ///< Not known: the row must not exist.
    store_revision progress_revision; ///< Not known: the row must not exist.
    rollout_status status;
    rollout_progress progress;

    auto operator<=>(const rollout_write&) const = default;
};

/// What the rows say about an order, and what to write.
struct status_decision
{
    std::optional<rollout_state> stored; ///< No value: the rows are of another order.
    time_point deadline{time_point::max()};
    std::optional<rollout_write> write;

    auto operator<=>(const status_decision&) const = default;
};

[[nodiscard]] status_decision
decide_status(const rollout_summary& rollout, const rollout_rows& rows, const store_time& time);

} // namespace mangovane

#endif

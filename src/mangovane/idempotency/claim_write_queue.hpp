// Queue of the writes for the next transaction of a claim writer.
#ifndef MANGOVANE_IDEMPOTENCY_CLAIM_WRITE_QUEUE_HPP
#define MANGOVANE_IDEMPOTENCY_CLAIM_WRITE_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Write of a task that waits for a transaction.
struct queued_write
{
    std::uint64_t task{0}; ///< Task id.
    std::uint64_t row{0};  ///< Hash of the row's key.
    time_point queued_at;

    auto operator<=>(const queued_write&) const = default;
};

/// Thread-safe. At most one transaction is in flight: once `take_batch` has returned writes, it
/// returns no others until `finish_batch`.
class claim_write_queue
{
public:
    claim_write_queue(std::size_t max_items, duration window)
        : max_items_{max_items}, window_{window}
    {}

    /// Queues a write; returns whether there are enough for a transaction, and none is in flight.
    bool push(queued_write item);

    /// The writes of the next transaction; empty if none is due. A transaction is due when its
    /// oldest write has waited for the window, or when `max_items` are queued. No two writes have
    /// the same row, so their order in the transaction does not matter.
    [[nodiscard]] std::vector<queued_write> take_batch(time_point now);

    /// Marks the transaction in flight as finished.
    void finish_batch();

private:
    const std::size_t max_items_;
    const duration window_;
    std::mutex mutex_;
    std::deque<queued_write> items_; ///< Guarded by `mutex_`.
    bool in_flight_{false};          ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

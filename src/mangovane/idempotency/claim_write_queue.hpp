// Writes that wait for the next transaction of a claim batch.
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

/// A task whose write waits.
struct queued_write
{
    std::uint64_t task{0};
    std::uint64_t row{0}; ///< Hash of the row's key.
    time_point queued_at;

    auto operator<=>(const queued_write&) const = default;
};

/// Thread-safe. At most one transaction is in flight; after `take` returned items, none are handed
/// out until `done`.
class claim_write_queue
{
public:
    claim_write_queue(std::size_t max_items, duration window)
        : max_items_{max_items}, window_{window}
    {}

    /// Returns whether a transaction is due.
    bool push(queued_write item);

    /// The items of the next transaction: due when the oldest has waited for the window, or when
    /// there are enough. No two are of the same row, so their order in the transaction is of no
    /// importance.
    [[nodiscard]] std::vector<queued_write> take_batch(time_point now);

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

// The wait queue of one endpoint: deficit-weighted shares between classes, start-time fair queueing
// between client accounts inside a class, first in first out inside an account. Bounded.
#ifndef MANGOVANE_QUEUE_FAIR_QUEUE_HPP
#define MANGOVANE_QUEUE_FAIR_QUEUE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/request_class.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/message/slot.hpp"

namespace mangovane
{

/// Limits of a wait queue.
struct queue_limits
{
    std::uint32_t total{128};
    std::uint32_t per_account{64};
    std::array<std::uint32_t, request_class_count> class_shares{70, 20, 10}; ///< Percent.

    bool operator==(const queue_limits&) const = default;
};

/// A request that waits for a slot.
struct waiting_slot
{
    instance_id holder;
    slot_request request;

    auto operator<=>(const waiting_slot&) const = default;
};

class fair_queue
{
public:
    /// Appends a request; false when the queue or the account's part of it is full.
    [[nodiscard]] bool push(const queue_limits& limits, waiting_slot entry);

    /// Takes the next request in fair order, nothing when empty.
    std::optional<waiting_slot> pop(const queue_limits& limits);

    /// Takes out every request whose `wait_until` or deadline has passed.
    std::vector<waiting_slot> expire(time_point now);

    /// Takes out one request; false when it is not queued.
    bool remove(const attempt_id& attempt);

    /// Takes out all requests, in no particular order.
    std::vector<waiting_slot> drain();

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

private:
    struct account_queue
    {
        std::deque<waiting_slot> entries;
        double finish_tag{0}; ///< Virtual finish time of the account's last served request.
    };

    struct class_queue
    {
        absl::flat_hash_map<account_id, account_queue> accounts; ///< No empty account stays.
        double virtual_time{0}; ///< Start tag of the request served last; never falls.
        double credit{0};       ///< Share earned and not yet used by this class.
        std::size_t size{0};
    };

    std::optional<std::size_t> choose_class(const queue_limits& limits);

    std::array<class_queue, request_class_count> classes_;
    std::size_t size_{0}; ///< Sum of the sizes of the classes.
};

} // namespace mangovane

#endif

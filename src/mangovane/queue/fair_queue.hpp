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
#include <absl/functional/function_ref.h>

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
struct waiting_request
{
    instance_id holder;
    slot_request request;

    auto operator<=>(const waiting_request&) const = default;
};

/// Whether a waiting request may be served now.
using slot_filter = absl::FunctionRef<bool(const slot_request&)>;

class fair_queue
{
public:
    /// Appends a request; false when the queue or the account's part of it is full.
    [[nodiscard]] bool push(const queue_limits& limits, const waiting_request& entry);

    /// Takes the next request in fair order, nothing when empty.
    std::optional<waiting_request> pop(const queue_limits& limits);

    /// Takes the next request in fair order among those that the filter admits. Others keep their
    /// place, and their class earns no credit for the turn.
    std::optional<waiting_request> pop(const queue_limits& limits, slot_filter admits);

    /// Requests that would be served before this one if it were pushed now: an estimate from the
    /// weights and shares, at most the size of the queue.
    [[nodiscard]] std::size_t position_of(const queue_limits& limits,
                                          const slot_request& request) const;

    /// Takes out every request whose `wait_until` or deadline has passed, in order of arrival.
    std::vector<waiting_request> expire(time_point now);

    /// Takes out one request; false when it is not queued.
    bool remove(const attempt_id& attempt);

    [[nodiscard]] bool contains(const attempt_id& attempt) const;

    /// Takes out all requests, in order of arrival.
    std::vector<waiting_request> drain();

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

private:
    struct queued_entry
    {
        std::uint64_t arrival; ///< Order of arrival over the whole queue.
        waiting_request slot;
    };

    struct account_queue
    {
        std::deque<queued_entry> entries; ///< In order of arrival.
        double finish_tag{0}; ///< Virtual finish time of the account's last served request.
    };

    struct class_queue
    {
        /// An empty account stays until it has earned its whole credit; otherwise an account with
        /// one request at a time would overtake the others after each answer.
        absl::flat_hash_map<account_id, account_queue> accounts;
        double virtual_time{0}; ///< Highest start tag served; never falls.
        double credit{0};       ///< Share earned and not yet used by this class.
        std::size_t size{0};
    };

    /// The request of a class that is served first.
    struct candidate
    {
        account_id account;
        std::size_t index;     ///< In the account's entries.
        double start_tag;      ///< Lowest first.
        std::uint64_t arrival; ///< Among equal tags, the earliest first.
    };

    using candidates = std::array<std::optional<candidate>, request_class_count>;

    [[nodiscard]] static double start_tag(const class_queue& queue,
                                          const account_queue& account) noexcept;
    [[nodiscard]] static std::optional<candidate> find_next(const class_queue& queue,
                                                            slot_filter admits);
    std::optional<std::size_t> choose_class(const queue_limits& limits, const candidates& next);
    waiting_request take(class_queue& queue, const candidate& chosen);
    void settle(class_queue& queue);
    std::vector<waiting_request> extract(slot_filter selects);

    std::array<class_queue, request_class_count> classes_;
    std::size_t size_{0}; ///< Sum of the sizes of the classes.
    std::uint64_t next_arrival_{0};
};

} // namespace mangovane

#endif

// The bounded wait queue of one endpoint: weighted shares by credit between classes, start-time
// fair queueing between the client accounts of a class, first in, first out inside an account.
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

/// Limits of a wait queue, in requests.
struct queue_limits
{
    std::uint32_t total{128};      ///< Over all accounts.
    std::uint32_t per_account{64}; ///< Over all classes.
    /// Percentage of grants per class.
    std::array<std::uint32_t, request_class_count> class_shares{70, 20, 10};

    bool operator==(const queue_limits&) const = default;
};

/// A request that waits for a slot.
struct waiting_request
{
    instance_id holder;
    slot_request request;

    auto operator<=>(const waiting_request&) const = default;
};

/// Predicate on a waiting request, such as whether it may be granted now.
using request_filter = absl::FunctionRef<bool(const slot_request&)>;

class fair_queue
{
public:
    /// Appends a request; false when the queue is full or the account has reached its limit.
    [[nodiscard]] bool push(const queue_limits& limits, const waiting_request& entry);

    /// Removes and returns the next request in fair order; nothing when empty.
    std::optional<waiting_request> pop(const queue_limits& limits);

    /// Removes and returns the next request in fair order among those that the filter admits. The
    /// others keep their position. A class without an admitted request earns no credit.
    std::optional<waiting_request> pop(const queue_limits& limits, request_filter admits);

    /// Estimated number of requests that would be served before this one if it were pushed now,
    /// from weights and shares; at most the size of the queue.
    [[nodiscard]] std::size_t position_of(const queue_limits& limits,
                                          const slot_request& request) const;

    /// Removes and returns every request whose `wait_until` or deadline has passed, in order of
    /// arrival.
    std::vector<waiting_request> expire(time_point now);

    /// Removes one request; false when it is not queued.
    bool remove(const attempt_id& attempt);

    [[nodiscard]] bool contains(const attempt_id& attempt) const;

    /// Removes and returns all requests, in order of arrival.
    std::vector<waiting_request> drain();

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }

private:
    struct queued_entry
    {
        std::uint64_t arrival; ///< Order of arrival over the whole queue.
        waiting_request waiting;
    };

    struct account_queue
    {
        std::deque<queued_entry> entries; ///< In order of arrival.
        double finish_tag{0}; ///< Virtual finish time of the account's last served request.
    };

    struct class_queue
    {
        /// An empty account is kept until its finish tag has fallen behind by `max_account_lag`;
        /// otherwise an account with one request at a time would overtake the others after each
        /// response.
        absl::flat_hash_map<account_id, account_queue> accounts;
        double virtual_time{0}; ///< Highest start tag served; never decreases.
        double credit{0};       ///< Turns earned and not yet used by this class.
        std::size_t size{0};
    };

    /// The next request of a class.
    struct candidate
    {
        account_id account;
        std::size_t index;     ///< Position in the account's entries.
        double start_tag;      ///< The lowest is served first.
        std::uint64_t arrival; ///< Breaks ties: the earliest first.
    };

    using candidates = std::array<std::optional<candidate>, request_class_count>;

    [[nodiscard]] static double start_tag(const class_queue& queue,
                                          const account_queue& account) noexcept;
    [[nodiscard]] static std::optional<candidate> find_next(const class_queue& queue,
                                                            request_filter admits);

    /// Class whose turn it is, among those with a next request; updates the credits.
    std::optional<std::size_t> choose_class(const queue_limits& limits, const candidates& next);
    waiting_request take(class_queue& queue, const candidate& chosen);

    /// Removes empty accounts whose finish tag no longer affects the order, or all empty accounts
    /// above `max_tracked_accounts`, and drops positive credit of an empty class.
    void prune_accounts(class_queue& queue);
    std::vector<waiting_request> extract(request_filter selects);

    std::array<class_queue, request_class_count> classes_;
    std::size_t size_{0}; ///< Sum of the sizes of the classes.
    std::uint64_t next_arrival_{0};
};

} // namespace mangovane

#endif

// Writes claims and their outcomes to the table service in batched transactions, and resolves
// writes whose answer was lost.
#ifndef MANGOVANE_IDEMPOTENCY_CLAIM_WRITER_HPP
#define MANGOVANE_IDEMPOTENCY_CLAIM_WRITER_HPP

#include <cstddef>
#include <functional>
#include <memory>

#include <absl/status/statusor.h>

#include "mangovane/core/time.hpp"
#include "mangovane/idempotency/claim.hpp"

namespace mangovane
{

class table_service;

/// Result of a claim.
struct claim_result
{
    bool acquired{false};       ///< This attempt holds the claim and may dispatch.
    duplicate_answer duplicate; ///< Set if another attempt holds the claim.

    auto operator<=>(const claim_result&) const = default;
};

/// Writes the claims and outcomes of one instance. Thread-safe. `tick` must be called at least once
/// per `batch_window`.
class claim_writer
{
public:
    using claim_handler = std::function<void(absl::StatusOr<claim_result>)>;
    using settle_handler = std::function<void(absl::Status)>;

    /// After a failed claim, time for which the writer tries to mark it abandoned: after a store
    /// outage of up to a minute, no key stays claimed by a caller that got an error.
    static constexpr seconds abandon_retry_time{60};
    static constexpr std::size_t max_pending_body_bytes = std::size_t{16} * 1024 * 1024;
    static constexpr std::size_t max_batch_writes = 64;
    static constexpr milliseconds batch_window{5};
    static constexpr std::size_t max_pending_claims = 4096; ///< Including claims being abandoned.

    /// The table must outlive the writer, and must not call a handler before `read` or `write` has
    /// returned.
    explicit claim_writer(table_service& table);
    /// Calls the pending handlers with an error.
    ~claim_writer();
    claim_writer(const claim_writer&) = delete;
    claim_writer& operator=(const claim_writer&) = delete;

    /// Claims a key. On an error, this attempt does not hold the claim, or that could not be
    /// determined before the deadline. In both cases the attempt must not dispatch, and the writer
    /// tries for `abandon_retry_time` to mark the claim abandoned. The error is
    /// `store_unavailable`; beyond `max_pending_claims`, the handler is called before this call
    /// returns. `wanted` has the current time in `claimed_unix_ms` and the end of its retention in
    /// `expires_unix_ms`.
    void claim_key(claim wanted, time_point now, time_point deadline, claim_handler handler);

    /// Stores the final state of a claim that this attempt holds; retried until the deadline. A
    /// body of more than `max_stored_body_bytes` is replaced by its digest, and so is every body
    /// while the pending bodies exceed `max_pending_body_bytes`. `kFailedPrecondition`: the row no
    /// longer holds this attempt's claim.
    void settle(claim settled, time_point now, time_point deadline, settle_handler handler);

    /// Sends the writes that have waited for `batch_window`, reads the rows of lost writes, and
    /// ends calls that have reached their deadline.
    void tick(time_point now);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace mangovane

#endif

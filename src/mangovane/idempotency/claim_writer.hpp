// Groups claims into few transactions, and resolves answers of the table service that were lost.
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
    duplicate_answer duplicate; ///< Set when another attempt holds it.

    auto operator<=>(const claim_result&) const = default;
};

/// Writes of claims and outcomes of one instance. `tick` has to be called at least each `window`.
class claim_writer
{
public:
    using claim_handler = std::function<void(absl::StatusOr<claim_result>)>;
    using settle_handler = std::function<void(absl::Status)>;

    /// A store that was out for a minute does not leave claims of callers that have gone.
    static constexpr seconds abandon_retry_time{60};
    static constexpr std::size_t max_pending_body_bytes = std::size_t{16} * 1024 * 1024;
    static constexpr std::size_t max_batch_writes = 64;
    static constexpr milliseconds batch_window{5};
    static constexpr std::size_t max_pending_claims = 4096; ///< Claims, also those being given up.

    /// The table outlives the batch, and calls no handler while one of its calls runs.
    explicit claim_writer(table_service& table);
    /// Waiting handlers get an error.
    ~claim_writer();
    claim_writer(const claim_writer&) = delete;
    claim_writer& operator=(const claim_writer&) = delete;

    /// Claims a key. An error means that this attempt certainly does not hold the claim, or that
    /// this could not be learnt before the deadline; in both cases the attempt must not dispatch,
    /// and the batch goes on for `abandon_retry_time` to mark the claim abandoned. The error is
    /// `store_unavailable`; beyond `max_pending_claims` the handler is called from inside this
    /// call. `wanted` has the current time as `claimed_unix_ms`, and the end of its retention.
    void claim_key(claim wanted, time_point now, time_point deadline, claim_handler handler);

    /// Stores the end of a claim that this attempt holds; retried until the deadline. Bodies over
    /// `max_stored_body_bytes` are replaced by their digest, and so are all bodies while more than
    /// `max_pending_body_bytes` of them wait for the store. `kFailedPrecondition`: the row does not
    /// hold this attempt's claim any more.
    void settle(claim settled, time_point now, time_point deadline, settle_handler handler);

    /// Sends what has waited for a whole window.
    void tick(time_point now);

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace mangovane

#endif

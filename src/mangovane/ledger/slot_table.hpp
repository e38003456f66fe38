// The slots in flight at one endpoint: leases, orphaned slots, and attempts that have ended.
#ifndef MANGOVANE_LEDGER_SLOT_TABLE_HPP
#define MANGOVANE_LEDGER_SLOT_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/message/slot.hpp"

namespace mangovane
{

/// Time for which a slot is held without renewal.
inline constexpr milliseconds slot_lease_time{4000};
/// Period in which holders renew their slots.
inline constexpr milliseconds renewal_period{1000};
/// A renewal received within this time after a grant may have been sent before the grant arrived.
/// Twice the time for which a holder waits for an answer of the owner.
inline constexpr milliseconds grant_grace{500};
/// Longest time during which late messages of an ended attempt are expected.
inline constexpr milliseconds ended_attempt_ttl{60000};

/// One slot, for one request in flight.
struct leased_slot
{
    instance_id holder;
    time_point granted_at;  ///< Time of the grant, or of the first renewal at this owner.
    time_point lease_until; ///< Extended by renewals.
    time_point deadline;    ///< Deadline of the caller.
    bool answered{false};   ///< The endpoint has started to respond.
    bool listed{false};     ///< The holder has listed the slot: a later list without it ends it.
    bool adopted{false};    ///< Granted by a previous owner, or taken from a local share.
    bool orphaned{false}; ///< Lease ran out; counts as load until a report or the deadline ends it.

    auto operator<=>(const leased_slot&) const = default;
};

class slot_table
{
public:
    /// Adds a slot with a new lease.
    void grant(const slot_request& msg, instance_id holder, time_point now);

    /// Ends a slot of this holder and returns it; nothing when it is unknown. In both cases the
    /// attempt is recorded as ended, so that a late request or renewal cannot create the slot
    /// again. A release by another holder is ignored.
    std::optional<leased_slot>
    release(const attempt_id& attempt, instance_id holder, time_point now);

    /// Changes found by a renewal.
    struct renewal_result
    {
        std::size_t adopted{0};  ///< Slots that were unknown before.
        std::size_t answered{0}; ///< Slots whose response has started since the last renewal.
    };

    /// Renews the slots of a holder from its complete list, and ends those missing from the list. A
    /// slot that was never listed is kept for `grant_grace` after its grant.
    renewal_result renew(instance_id holder, const std::vector<held_slot>& listed, time_point now);

    /// Marks slots whose lease has run out as orphaned, ends orphaned slots whose deadline has
    /// passed, and drops old records of ended attempts.
    void expire(time_point now);

    /// Compares with the number of requests in flight that the endpoint reported at `sampled_at`.
    /// Ends surplus orphaned slots, the oldest leases first, among those whose lease ran out before
    /// the sample.
    void on_report(std::uint32_t in_flight, time_point sampled_at);

    [[nodiscard]] bool contains(const attempt_id& attempt) const
    {
        return slots_.contains(attempt);
    }

    /// Whether the attempt has ended: no slot may be granted for it.
    [[nodiscard]] bool ended(const attempt_id& attempt) const { return ended_.contains(attempt); }

    /// Number of slots, orphaned ones included.
    [[nodiscard]] std::uint32_t size() const noexcept
    {
        return static_cast<std::uint32_t>(slots_.size());
    }

    [[nodiscard]] std::uint32_t orphaned() const noexcept;

private:
    absl::flat_hash_map<attempt_id, leased_slot> slots_;
    absl::flat_hash_map<attempt_id, time_point> ended_; ///< Time until which each record is kept.
};

} // namespace mangovane

#endif

// The slots in flight at one endpoint: their leases, orphaned slots, and attempts that have ended.
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

/// Time a slot is held without renewal.
inline constexpr milliseconds slot_lease_time{4000};
/// Period of the holders' renewals.
inline constexpr milliseconds renewal_period{1000};
/// A renewal that arrives this soon after a grant may have been sent before the grant arrived.
/// Twice the time after which a holder gives up waiting for an answer of the owner.
inline constexpr milliseconds grant_grace{500};
/// Longest time in which a message of an ended attempt is expected.
inline constexpr milliseconds ended_attempt_ttl{60000};

/// One request in flight.
struct leased_slot
{
    instance_id holder;
    time_point granted_at;  ///< When this owner granted it or first heard of it.
    time_point lease_until; ///< Extended by renewals.
    time_point deadline;    ///< Of the caller.
    bool answered{false};   ///< The endpoint has begun to answer.
    bool listed{false};     ///< The holder has listed it: a list without it ends it.
    bool adopted{false};    ///< Granted by a former owner, or from a local share.
    bool orphaned{
        false}; ///< Lease ran out; counts as load until a report or the deadline clears it.

    auto operator<=>(const leased_slot&) const = default;
};

class slot_table
{
public:
    void grant(const slot_request& msg, instance_id holder, time_point now);

    /// Ends a slot of this holder and returns it; nothing when it is not known. In both cases the
    /// attempt is remembered, so that a late request or renewal cannot bring it back.
    std::optional<leased_slot>
    release(const attempt_id& attempt, instance_id holder, time_point now);

    /// What a renewal has shown.
    struct renewal_result
    {
        std::size_t adopted{0};  ///< Slots that were not known.
        std::size_t answered{0}; ///< Slots whose answer has begun since the last renewal.
    };

    /// Complete list of a holder's slots.
    renewal_result renew(instance_id holder, const std::vector<held_slot>& listed, time_point now);

    /// Orphans slots whose lease has run out, ends orphaned slots whose deadline has passed, and
    /// forgets ended attempts.
    void expire(time_point now);

    /// The endpoint had this many requests in flight: ends the orphaned slots that are not among
    /// them, of those whose lease ran out before the sample.
    void on_report(std::uint32_t in_flight, time_point sampled_at);

    [[nodiscard]] bool contains(const attempt_id& attempt) const
    {
        return slots_.contains(attempt);
    }

    /// The attempt has ended: no slot may be granted for it.
    [[nodiscard]] bool ended(const attempt_id& attempt) const { return ended_.contains(attempt); }

    /// All slots, orphaned ones included.
    [[nodiscard]] std::uint32_t size() const noexcept
    {
        return static_cast<std::uint32_t>(slots_.size());
    }

    [[nodiscard]] std::uint32_t orphaned() const noexcept;

private:
    absl::flat_hash_map<attempt_id, leased_slot> slots_;
    absl::flat_hash_map<attempt_id, time_point> ended_; ///< Until when each is remembered.
};

} // namespace mangovane

#endif

// The in-flight ledger of one endpoint at its owner: slots, load bound, ramp and wait queue.
#ifndef MANGOVANE_LEDGER_ENDPOINT_LEDGER_HPP
#define MANGOVANE_LEDGER_ENDPOINT_LEDGER_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include "mangovane/ledger/bound.hpp"
#include "mangovane/ledger/ramp.hpp"
#include "mangovane/membership/endpoint.hpp"
#include "mangovane/membership/view.hpp"
#include "mangovane/message/message.hpp"
#include "mangovane/queue/fair_queue.hpp"

namespace mangovane
{

/// Time a slot is held without renewal.
inline constexpr milliseconds slot_lease{4000};
/// Period of the holders' renewals.
inline constexpr milliseconds renewal_period{1000};

/// What a ledger needs to know from outside for a decision.
struct ledger_context
{
    const service_policy& policy;
    const membership_view& view;
    service_load load; ///< Of the service; includes this endpoint.
    std::optional<slot_refusal_reason>
        closed; ///< Set when the endpoint takes no new work: leaving or drained.
};

/// Counts for status, metrics and the load summary.
struct ledger_status
{
    std::uint32_t in_flight{0}; ///< Live and orphaned slots.
    std::uint32_t orphaned{0};
    std::uint32_t queued{0};
    std::uint32_t allowed{0};
    std::uint32_t ramp{0};
    bool cold{false};
    bool rebuilding{false};

    auto operator<=>(const ledger_status&) const = default;
};

class endpoint_ledger
{
public:
    /// A new owner: rebuilding, and cold until it hears otherwise.
    endpoint_ledger(endpoint_id endpoint, const service_policy& policy, time_point now);

    /// Asks for a slot. Grants, refuses, or queues (then returns nothing).
    [[nodiscard]] std::vector<outgoing_message>
    request(instance_id holder, const slot_request& msg, const ledger_context& ctx, time_point now);

    /// Gives a slot back, also one that waits; may grant to waiting requests.
    [[nodiscard]] std::vector<outgoing_message>
    release(instance_id holder, const slot_release& msg, const ledger_context& ctx, time_point now);

    /// Complete list of a holder's slots. Replaces what is known of this holder, except for slots
    /// granted after the holder built the list (`grant_grace`).
    [[nodiscard]] std::vector<outgoing_message>
    renew(instance_id holder, const slot_renewal& msg, const ledger_context& ctx, time_point now);

    /// A report of the endpoint about itself.
    [[nodiscard]] std::vector<outgoing_message>
    report(const endpoint_report& msg, const ledger_context& ctx, time_point now);

    /// Expires leases and waits; ends the rebuilding phase; grants what became free.
    [[nodiscard]] std::vector<outgoing_message> tick(const ledger_context& ctx, time_point now);

    /// This instance is no longer the owner: refuses everything that waits.
    [[nodiscard]] std::vector<outgoing_message> resign();

    [[nodiscard]] ledger_status status(const ledger_context& ctx) const;

    [[nodiscard]] std::uint32_t in_flight() const noexcept
    {
        return static_cast<std::uint32_t>(slots_.size());
    }

private:
    struct slot
    {
        instance_id holder;
        time_point granted_at;
        time_point lease_until; ///< Extended by renewals.
        time_point deadline;    ///< Of the caller.
        bool orphaned{
            false}; ///< Lease ran out; counts as load until a report or the deadline clears it.
    };

    [[nodiscard]] std::uint32_t allowed(const ledger_context& ctx, slot_purpose purpose) const;
    [[nodiscard]] std::vector<outgoing_message> grant_waiting(const ledger_context& ctx,
                                                              time_point now);
    outgoing_message grant(const waiting_slot& entry, const ledger_context& ctx, time_point now);

    endpoint_id endpoint_;
    absl::flat_hash_map<attempt_id, slot> slots_; ///< All slots in flight, orphaned ones included.
    fair_queue queue_;
    std::optional<cold_ramp> ramp_; ///< Empty once the endpoint is warm.
    incarnation epoch_{0};          ///< Of the endpoint; 0 until the first report.
    std::uint32_t reported_{0};     ///< In flight by the endpoint's last report.
    bool rebuilding_{true};
    time_point rebuild_until_; ///< One lease after this instance became the owner.
    absl::flat_hash_set<instance_id>
        heard_; ///< Holders that have renewed since then; emptied at the end.
};

} // namespace mangovane

#endif

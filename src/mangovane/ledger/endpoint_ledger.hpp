// The in-flight ledger of one endpoint at its owner: slots, load bound, ramp and wait queue.
#ifndef MANGOVANE_LEDGER_ENDPOINT_LEDGER_HPP
#define MANGOVANE_LEDGER_ENDPOINT_LEDGER_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_set.h>

#include "mangovane/ledger/bound.hpp"
#include "mangovane/ledger/cold_ramp.hpp"
#include "mangovane/ledger/slot_table.hpp"
#include "mangovane/membership/endpoint.hpp"
#include "mangovane/membership/view.hpp"
#include "mangovane/message/message.hpp"
#include "mangovane/queue/fair_queue.hpp"

namespace mangovane
{

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

/// Moving average of the time from grant to release.
class holding_time
{
public:
    void add(duration sample) noexcept;

    /// Time until `turns` slots are released by an endpoint with `slots` slots in use; zero while
    /// too few samples are known.
    [[nodiscard]] duration estimate_wait(std::size_t turns, std::uint32_t slots) const noexcept;

    auto operator<=>(const holding_time&) const = default;

private:
    duration mean_{0};
    std::uint32_t samples_{0};
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
    /// granted after the holder built the list (`grant_grace`). The owner renews its own slots in
    /// the same way: rebuilding ends early only when it has been heard too.
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

    /// Live and orphaned slots.
    [[nodiscard]] std::uint32_t in_flight() const noexcept { return slots_.size(); }

private:
    using messages = std::vector<outgoing_message>;

    /// What limits the slots of the endpoint apart from the load bound.
    [[nodiscard]] std::optional<slot_refusal_reason> closed_by(const ledger_context& ctx) const;
    [[nodiscard]] std::uint32_t ramped(const ledger_context& ctx, slot_purpose purpose) const;
    [[nodiscard]] std::uint32_t allowed(const ledger_context& ctx, slot_purpose purpose) const;
    [[nodiscard]] std::uint32_t in_use() const noexcept;
    [[nodiscard]] bool has_room(const ledger_context& ctx, slot_purpose purpose) const;
    [[nodiscard]] slot_refusal_reason full_by(const ledger_context& ctx,
                                              slot_purpose purpose) const;

    [[nodiscard]] bool
    waits_too_long(const slot_request& msg, const ledger_context& ctx, time_point now) const;
    [[nodiscard]] outgoing_message
    admit(instance_id holder, const slot_request& msg, const ledger_context& ctx, time_point now);
    [[nodiscard]] std::optional<outgoing_message> admit_or_queue(instance_id holder,
                                                                 const slot_request& msg,
                                                                 const ledger_context& ctx,
                                                                 time_point now);
    [[nodiscard]] outgoing_message
    grant_of(instance_id holder, const slot_request& msg, const ledger_context& ctx) const;
    [[nodiscard]] outgoing_message refusal_of(const waiting_request& entry,
                                              slot_refusal_reason reason,
                                              std::uint32_t allowed_slots) const;

    messages settle_queue(const ledger_context& ctx, time_point now);
    void refuse_closed(messages& out, const ledger_context& ctx);
    void refuse_expired(messages& out, const ledger_context& ctx, time_point now);
    void grant_waiting(messages& out, const ledger_context& ctx, time_point now);

    void learn(const leased_slot& slot,
               const slot_release& msg,
               const ledger_context& ctx,
               time_point now);
    void on_overload(const ledger_context& ctx, time_point now);
    void end_ramp(const ledger_context& ctx);
    void note_closed(const ledger_context& ctx, time_point now);
    void end_rebuilding(const ledger_context& ctx, time_point now);

    endpoint_id endpoint_;
    slot_table slots_;                        ///< All slots in flight, orphaned ones included.
    fair_queue queue_;                        ///< Holds no attempt that has a slot or has ended.
    std::optional<cold_ramp> ramp_;           ///< Empty once the endpoint is warm.
    std::optional<endpoint_report> reported_; ///< The newest report.
    bool closed_{false}; ///< The endpoint took no new work when the ledger looked last.
    bool rebuilding_{true};
    time_point rebuild_until_; ///< One lease after this instance became the owner.
    absl::flat_hash_set<instance_id>
        heard_; ///< Holders that have renewed since then; emptied at the end.
    holding_time holding_;
};

} // namespace mangovane

#endif

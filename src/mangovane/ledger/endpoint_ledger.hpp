// The owner's record of the requests in flight at one endpoint: slots, load bound, ramp and wait
// queue.
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

/// External state on which a ledger decides.
struct ledger_context
{
    const service_policy& policy;
    const membership_view& view;
    service_load load; ///< Load of the service, including this endpoint.
    /// Set when the endpoint accepts no new requests, for example while it is leaving or drained.
    std::optional<slot_refusal_reason> closed;
};

/// State of a ledger for the status page, metrics and the load summary.
struct ledger_status
{
    std::uint32_t in_flight{0}; ///< Live and orphaned slots.
    std::uint32_t orphaned{0};  ///< Slots whose lease ran out.
    std::uint32_t queued{0};    ///< Waiting requests.
    std::uint32_t allowed{0};   ///< Slots that returning chats may use.
    std::uint32_t ramp{0};      ///< Slots that the ramp allows; 0: no ramp.
    bool cold{false};
    bool rebuilding{false};

    auto operator<=>(const ledger_status&) const = default;
};

/// Moving average of the time from the grant of a slot to its release.
class holding_time
{
public:
    /// Adds the time for which one slot was held.
    void add(duration sample) noexcept;

    /// Estimated time until `releases` slots have been released at an endpoint with `slots` slots
    /// in use; zero while there are too few samples.
    [[nodiscard]] duration estimate_wait(std::size_t releases, std::uint32_t slots) const noexcept;

    auto operator<=>(const holding_time&) const = default;

private:
    duration mean_{0};
    std::uint32_t samples_{0};
};

class endpoint_ledger
{
public:
    /// Starts rebuilding, with the ramp of a cold endpoint until renewals or a report show that it
    /// is warm.
    endpoint_ledger(endpoint_id endpoint, const service_policy& policy, time_point now);

    /// Handles a request for a slot: grants or refuses it, or queues it without an answer to the
    /// holder.
    [[nodiscard]] std::vector<outgoing_message>
    request(instance_id holder, const slot_request& msg, const ledger_context& ctx, time_point now);

    /// Releases a slot or cancels a waiting request; may grant slots to waiting requests.
    [[nodiscard]] std::vector<outgoing_message>
    release(instance_id holder, const slot_release& msg, const ledger_context& ctx, time_point now);

    /// Handles the complete list of a holder's slots. It replaces the recorded slots of this
    /// holder, except those granted after the holder built the list (`grant_grace`). The owner
    /// renews its own slots in the same way: rebuilding ends early only when the owner has renewed
    /// too.
    [[nodiscard]] std::vector<outgoing_message>
    renew(instance_id holder, const slot_renewal& msg, const ledger_context& ctx, time_point now);

    /// Handles a load report of the endpoint.
    [[nodiscard]] std::vector<outgoing_message>
    report(const endpoint_report& msg, const ledger_context& ctx, time_point now);

    /// Expires leases and waiting requests, ends the rebuilding phase when due, and grants free
    /// slots.
    [[nodiscard]] std::vector<outgoing_message> tick(const ledger_context& ctx, time_point now);

    /// Refuses all waiting requests when this instance is no longer the owner; returns the
    /// refusals.
    [[nodiscard]] std::vector<outgoing_message> on_ownership_lost();

    /// Current counts under the policy and load of the context.
    [[nodiscard]] ledger_status status(const ledger_context& ctx) const;

    /// Number of slots, orphaned ones included.
    [[nodiscard]] std::uint32_t in_flight() const noexcept { return slots_.size(); }

private:
    using messages = std::vector<outgoing_message>;

    /// Why the endpoint accepts no new requests; nothing when it does.
    [[nodiscard]] std::optional<slot_refusal_reason> closed_reason(const ledger_context& ctx) const;

    /// Slots for the purpose under the load bound and the ramp.
    [[nodiscard]] std::uint32_t ramp_limited_slots(const ledger_context& ctx,
                                                   slot_purpose purpose) const;

    /// Slots for the purpose with the limit while rebuilding; 0 when the endpoint is closed.
    [[nodiscard]] std::uint32_t allowed(const ledger_context& ctx, slot_purpose purpose) const;
    [[nodiscard]] std::uint32_t in_use() const noexcept;
    [[nodiscard]] bool has_room(const ledger_context& ctx, slot_purpose purpose) const;

    /// Which of the limits is reached when there is no room.
    [[nodiscard]] slot_refusal_reason full_reason(const ledger_context& ctx,
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
    make_grant(instance_id holder, const slot_request& msg, const ledger_context& ctx) const;
    [[nodiscard]] outgoing_message make_refusal(const waiting_request& entry,
                                                slot_refusal_reason reason,
                                                std::uint32_t allowed_slots) const;

    messages process_queue(const ledger_context& ctx, time_point now);
    void refuse_closed(messages& out, const ledger_context& ctx);
    void refuse_expired(messages& out, const ledger_context& ctx, time_point now);
    void grant_waiting(messages& out, const ledger_context& ctx, time_point now);

    void record_release(const leased_slot& slot,
                        const slot_release& msg,
                        const ledger_context& ctx,
                        time_point now);
    void on_overload(const ledger_context& ctx, time_point now);
    void end_ramp(const ledger_context& ctx);
    void update_closed(const ledger_context& ctx, time_point now);
    void end_rebuilding(const ledger_context& ctx, time_point now);

    endpoint_id endpoint_;
    slot_table slots_;                        ///< All slots in flight, orphaned ones included.
    fair_queue queue_;                        ///< Contains no attempt that has a slot or has ended.
    std::optional<cold_ramp> ramp_;           ///< Empty once the endpoint is warm.
    std::optional<endpoint_report> reported_; ///< The latest report.
    bool closed_{false}; ///< Whether the endpoint accepted no new requests at the last update.
    bool rebuilding_{true};
    time_point rebuild_until_; ///< One lease after this instance became the owner.
    /// Holders that have renewed while rebuilding; cleared when it ends.
    absl::flat_hash_set<instance_id> renewed_holders_;
    holding_time holding_;
};

} // namespace mangovane

#endif

// Implementation of the endpoint ledger.
#include "mangovane/ledger/endpoint_ledger.hpp"

#include <algorithm>
#include <utility>

namespace mangovane
{

namespace
{

/// A new sample has the weight 1 / 8 in the moving average of the holding time.
constexpr int holding_weight = 8;
/// With fewer samples no request is refused early: a single long request would dominate the mean.
constexpr std::uint32_t min_holding_samples = 4;

queue_limits limits_of(const service_policy& policy)
{
    return {policy.queue_per_endpoint, policy.queue_per_account, policy.class_shares};
}

/// Slots that a new owner may use while rebuilding: a quarter of the bound, rounded up. Together
/// with the slots of the previous owner the sum stays within 1.25 times the bound + 1.
std::uint32_t rebuilding_limit(std::uint32_t bound) noexcept
{
    return bound / 4 + (bound % 4 != 0 ? 1 : 0);
}

bool is_live(const member& it) noexcept
{
    return it.state == member_state::alive || it.state == member_state::suspect;
}

bool shows_overload(const slot_release& msg, const service_policy& policy)
{
    const bool late = policy.cold_first_token.count() != 0 &&
                      milliseconds{msg.first_token_ms} > policy.cold_first_token;
    return late || msg.outcome == attempt_outcome::overloaded;
}

} // namespace

void holding_time::add(duration sample) noexcept
{
    mean_ = samples_ == 0 ? sample : mean_ + (sample - mean_) / holding_weight;
    samples_ = std::min(samples_ + 1, min_holding_samples);
}

duration holding_time::estimate_wait(std::size_t releases, std::uint32_t slots) const noexcept
{
    // With all slots in use, `slots` releases occur per mean holding time. Unlike a count of recent
    // releases, this does not depend on how busy the endpoint was before.
    const auto rounds = static_cast<double>(releases) / std::max(slots, 1U);
    const auto ticks = static_cast<double>(mean_.count()) * rounds;
    return samples_ < min_holding_samples ? duration{0}
                                          : duration{static_cast<duration::rep>(ticks)};
}

endpoint_ledger::endpoint_ledger(endpoint_id endpoint, const service_policy& policy, time_point now)
    : endpoint_{endpoint}, ramp_{std::in_place, policy, 0U, now}, rebuild_until_{now +
                                                                                 slot_lease_time}
{}

std::optional<slot_refusal_reason> endpoint_ledger::closed_reason(const ledger_context& ctx) const
{
    const bool leaving = reported_ && reported_->leaving;
    return ctx.closed || !leaving ? ctx.closed : std::optional{slot_refusal_reason::leaving};
}

std::uint32_t endpoint_ledger::ramp_limited_slots(const ledger_context& ctx,
                                                  slot_purpose purpose) const
{
    const auto n = slots_for_purpose(ctx.policy, ctx.load, purpose);
    return ramp_ ? std::min(n, ramp_->allowed()) : n;
}

std::uint32_t endpoint_ledger::allowed(const ledger_context& ctx, slot_purpose purpose) const
{
    if (closed_reason(ctx))
    {
        return 0;
    }
    const auto n = ramp_limited_slots(ctx, purpose);
    const auto bound = load_bound_slots(ctx.policy, ctx.load);
    return rebuilding_ ? std::min(n, rebuilding_limit(bound)) : n;
}

std::uint32_t endpoint_ledger::in_use() const noexcept
{
    // Slots that have not been renewed at a new owner are visible only in the endpoint's report.
    const auto reported = rebuilding_ && reported_ ? reported_->in_flight : 0;
    return std::max(slots_.size(), reported);
}

bool endpoint_ledger::has_room(const ledger_context& ctx, slot_purpose purpose) const
{
    return in_use() < allowed(ctx, purpose);
}

slot_refusal_reason endpoint_ledger::full_reason(const ledger_context& ctx,
                                                 slot_purpose purpose) const
{
    if (rebuilding_ && in_use() < ramp_limited_slots(ctx, purpose))
    {
        return slot_refusal_reason::rebuilding;
    }
    const bool cold = in_use() < slots_for_purpose(ctx.policy, ctx.load, purpose);
    return cold ? slot_refusal_reason::cold : slot_refusal_reason::at_bound;
}

std::vector<outgoing_message> endpoint_ledger::request(instance_id holder,
                                                       const slot_request& msg,
                                                       const ledger_context& ctx,
                                                       time_point now)
{
    auto out = process_queue(ctx, now);
    if (slots_.contains(msg.attempt))
    {
        out.push_back(make_grant(holder, msg, ctx));
        return out;
    }
    if (slots_.ended(msg.attempt) || queue_.contains(msg.attempt))
    {
        return out;
    }
    if (auto answer = admit_or_queue(holder, msg, ctx, now))
    {
        out.push_back(std::move(*answer));
    }
    return out;
}

std::optional<outgoing_message> endpoint_ledger::admit_or_queue(instance_id holder,
                                                                const slot_request& msg,
                                                                const ledger_context& ctx,
                                                                time_point now)
{
    const auto refuse = [&](slot_refusal_reason reason) {
        return make_refusal({holder, msg}, reason, allowed(ctx, msg.purpose));
    };
    if (const auto reason = closed_reason(ctx))
    {
        return refuse(*reason);
    }
    if (msg.deadline <= now)
    {
        return refuse(slot_refusal_reason::deadline);
    }
    if (has_room(ctx, msg.purpose))
    {
        return admit(holder, msg, ctx, now);
    }
    if (msg.wait_until <= now)
    {
        return refuse(full_reason(ctx, msg.purpose));
    }
    if (waits_too_long(msg, ctx, now))
    {
        return refuse(slot_refusal_reason::deadline);
    }
    if (!queue_.push(limits_of(ctx.policy), {holder, msg}))
    {
        return refuse(slot_refusal_reason::queue_full);
    }
    return std::nullopt;
}

bool endpoint_ledger::waits_too_long(const slot_request& msg,
                                     const ledger_context& ctx,
                                     time_point now) const
{
    const auto releases = queue_.position_of(limits_of(ctx.policy), msg) + 1;
    return now + holding_.estimate_wait(releases, ramp_limited_slots(ctx, msg.purpose)) >
           msg.deadline;
}

outgoing_message endpoint_ledger::admit(instance_id holder,
                                        const slot_request& msg,
                                        const ledger_context& ctx,
                                        time_point now)
{
    slots_.grant(msg, holder, now);
    return make_grant(holder, msg, ctx);
}

outgoing_message endpoint_ledger::make_grant(instance_id holder,
                                             const slot_request& msg,
                                             const ledger_context& ctx) const
{
    return {holder, slot_grant{msg.attempt, endpoint_, slots_.size(), allowed(ctx, msg.purpose)}};
}

outgoing_message endpoint_ledger::make_refusal(const waiting_request& entry,
                                               slot_refusal_reason reason,
                                               std::uint32_t allowed_slots) const
{
    return {entry.holder,
            slot_refusal{entry.request.attempt, endpoint_, reason, slots_.size(), allowed_slots}};
}

std::vector<outgoing_message> endpoint_ledger::release(instance_id holder,
                                                       const slot_release& msg,
                                                       const ledger_context& ctx,
                                                       time_point now)
{
    queue_.remove(msg.attempt);
    if (const auto slot = slots_.release(msg.attempt, holder, now))
    {
        record_release(*slot, msg, ctx, now);
    }
    return process_queue(ctx, now);
}

void endpoint_ledger::record_release(const leased_slot& slot,
                                     const slot_release& msg,
                                     const ledger_context& ctx,
                                     time_point now)
{
    if (!slot.adopted && msg.outcome != attempt_outcome::cancelled)
    {
        holding_.add(now - slot.granted_at);
    }
    if (shows_overload(msg, ctx.policy))
    {
        on_overload(ctx, now);
    }
    else if (ramp_ && msg.outcome == attempt_outcome::succeeded)
    {
        ramp_->on_success(ctx.policy, now);
        end_ramp(ctx);
    }
}

void endpoint_ledger::on_overload(const ledger_context& ctx, time_point now)
{
    if (!ramp_)
    {
        // The endpoint was overloaded while it still held the slot just released.
        ramp_.emplace(ctx.policy, slots_.size() + 1, now);
    }
    ramp_->on_overload(ctx.policy, now);
}

void endpoint_ledger::end_ramp(const ledger_context& ctx)
{
    const bool cold = rebuilding_ || (reported_ && !reported_->warm);
    if (!cold && ramp_->allowed() > load_bound_slots(ctx.policy, ctx.load))
    {
        ramp_.reset();
    }
}

std::vector<outgoing_message> endpoint_ledger::renew(instance_id holder,
                                                     const slot_renewal& msg,
                                                     const ledger_context& ctx,
                                                     time_point now)
{
    for (const auto& it : msg.slots)
    {
        queue_.remove(it.attempt);
    }
    const auto renewed = slots_.renew(holder, msg.slots, now);
    if (rebuilding_)
    {
        renewed_holders_.insert(holder);
    }
    if (rebuilding_ && ramp_ && renewed.adopted != 0)
    {
        ramp_->raise_to(slots_.size());
    }
    if (ramp_ && renewed.answered != 0)
    {
        // The start of a long response already shows that the endpoint sustains its load.
        ramp_->on_success(ctx.policy, now);
        end_ramp(ctx);
    }
    end_rebuilding(ctx, now);
    return process_queue(ctx, now);
}

std::vector<outgoing_message>
endpoint_ledger::report(const endpoint_report& msg, const ledger_context& ctx, time_point now)
{
    const bool stale =
        reported_ && (msg.epoch < reported_->epoch || msg.sampled_at < reported_->sampled_at);
    if (stale)
    {
        return process_queue(ctx, now);
    }
    const bool restarted = reported_ && msg.epoch > reported_->epoch;
    const bool turned_cold = reported_ && reported_->warm && !msg.warm;
    if (restarted || turned_cold)
    {
        ramp_.emplace(ctx.policy, 0U, now);
    }
    if (!reported_ && msg.warm && ramp_)
    {
        ramp_->raise_to(msg.in_flight);
    }
    reported_ = msg;
    slots_.expire(now);
    slots_.on_report(msg.in_flight, msg.sampled_at);
    return process_queue(ctx, now);
}

std::vector<outgoing_message> endpoint_ledger::tick(const ledger_context& ctx, time_point now)
{
    slots_.expire(now);
    end_rebuilding(ctx, now);
    return process_queue(ctx, now);
}

void endpoint_ledger::end_rebuilding(const ledger_context& ctx, time_point now)
{
    const auto& members = ctx.view.members();
    const bool all_renewed =
        !members.empty() && std::all_of(members.begin(), members.end(),
                                        [&](const member& it) {
                                            return !is_live(it) || renewed_holders_.contains(it.id);
                                        });
    if (rebuilding_ && (all_renewed || rebuild_until_ <= now))
    {
        rebuilding_ = false;
        renewed_holders_.clear();
    }
}

std::vector<outgoing_message> endpoint_ledger::process_queue(const ledger_context& ctx,
                                                             time_point now)
{
    update_closed(ctx, now);
    messages out;
    if (!queue_.empty())
    {
        refuse_closed(out, ctx);
        refuse_expired(out, ctx, now);
        grant_waiting(out, ctx, now);
    }
    return out;
}

void endpoint_ledger::update_closed(const ledger_context& ctx, time_point now)
{
    const auto reason = closed_reason(ctx);
    const bool closed = reason && *reason != slot_refusal_reason::rebuilding;
    if (std::exchange(closed_, closed) && !closed)
    {
        // Chats return gradually: the cache of the endpoint may be lost, and the endpoint may be
        // starting cold.
        ramp_.emplace(ctx.policy, 0U, now);
    }
}

void endpoint_ledger::refuse_closed(messages& out, const ledger_context& ctx)
{
    const auto reason = closed_reason(ctx);
    if (!reason)
    {
        return;
    }
    for (const auto& it : queue_.drain())
    {
        out.push_back(make_refusal(it, *reason, 0));
    }
}

void endpoint_ledger::refuse_expired(messages& out, const ledger_context& ctx, time_point now)
{
    for (const auto& it : queue_.expire(now))
    {
        const auto reason = it.request.deadline <= now ? slot_refusal_reason::deadline
                                                       : slot_refusal_reason::wait_expired;
        out.push_back(make_refusal(it, reason, allowed(ctx, it.request.purpose)));
    }
}

void endpoint_ledger::grant_waiting(messages& out, const ledger_context& ctx, time_point now)
{
    const auto limits = limits_of(ctx.policy);
    const auto may_run = [&](const slot_request& it) { return has_room(ctx, it.purpose); };
    while (const auto entry = queue_.pop(limits, may_run))
    {
        out.push_back(admit(entry->holder, entry->request, ctx, now));
    }
}

std::vector<outgoing_message> endpoint_ledger::on_ownership_lost()
{
    messages out;
    for (const auto& it : queue_.drain())
    {
        out.push_back(make_refusal(it, slot_refusal_reason::not_owner, 0));
    }
    return out;
}

ledger_status endpoint_ledger::status(const ledger_context& ctx) const
{
    ledger_status result;
    result.in_flight = slots_.size();
    result.orphaned = slots_.orphaned();
    result.queued = static_cast<std::uint32_t>(queue_.size());
    result.allowed = allowed(ctx, slot_purpose::returning_chat);
    result.ramp = ramp_ ? ramp_->allowed() : 0;
    result.cold = ramp_.has_value();
    result.rebuilding = rebuilding_;
    return result;
}

} // namespace mangovane

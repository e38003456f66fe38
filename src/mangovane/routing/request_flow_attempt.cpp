// Implementation of the request flow: from a granted slot to the end of the request.
#include "mangovane/routing/request_flow.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

namespace mangovane
{

bool request_flow::may_dispatch(const flow_context& ctx) const
{
    return ctx.now < request_.deadline && ctx.now < dispatch_until_ && !ctx.fenced &&
           requested_at_ >= ctx.resumed_at && ctx.now < ctx.view.valid_until() &&
           !ctx.routes.closed(endpoint_);
}

void request_flow::dispatch_or_claim(const flow_context& ctx)
{
    if (!may_dispatch(ctx))
    {
        release_held_slot(attempt_outcome::cancelled, 0);
        pause_or_fail(ctx);
        return;
    }
    if (request_.key.empty() || request_.idempotent || claim_held_)
    {
        dispatch(ctx);
        return;
    }
    stage_ = stage::claiming;
    claim_attempt_ = attempt_;
    add_action(claim_key{make_claim(claim_state::claimed)});
    wake(request_.deadline);
}

void request_flow::on(const claim_decided& event, const flow_context& ctx)
{
    if (stage_ != stage::claiming || event.attempt != attempt_)
    {
        return;
    }
    if (event.acquired)
    {
        claim_held_ = true;
        dispatch_or_claim(ctx);
        return;
    }
    release_held_slot(attempt_outcome::cancelled, 0);
    if (event.store_failed)
    {
        fail(error_kind::store_unavailable, "the idempotency key could not be claimed");
    }
    else if (event.duplicate.outcome)
    {
        add_action(answer_stored{*event.duplicate.outcome});
        stage_ = stage::finished;
    }
    else
    {
        fail(event.duplicate.refusal.value_or(error_kind::in_progress),
             "the idempotency key is already claimed");
    }
}

void request_flow::dispatch(const flow_context& ctx)
{
    const auto* info = ctx.routes.find(endpoint_);
    stage_ = stage::running;
    add_action(send_attempt{attempt_, endpoint_, info->address});
    wake(request_.deadline);
}

void request_flow::on(const attempt_answered& event, const flow_context&)
{
    if (stage_ == stage::running && event.attempt == attempt_)
    {
        response_started_ = true;
        may_have_run_ = true;
    }
}

void request_flow::on(const attempt_ended& event, const flow_context& ctx)
{
    if (stage_ != stage::running || event.attempt != attempt_)
    {
        return;
    }
    may_have_run_ = may_have_run_ || event.may_have_reached_endpoint;
    release_held_slot(event.outcome, event.first_token_ms);
    if (!event.response_complete)
    {
        on_failed_attempt(event, ctx);
        return;
    }
    if (is_model_ && !request_.chat.empty() && event.outcome == attempt_outcome::succeeded)
    {
        add_action(record_chat{chat_update{request_.chat, endpoint_}});
    }
    if (claim_held_)
    {
        auto settled = make_claim(claim_state::completed);
        settled.outcome = event.stored;
        add_action(settle_claim{std::move(settled)});
    }
    add_action(end_request{true});
    stage_ = stage::finished;
}

void request_flow::on_failed_attempt(const attempt_ended& event, const flow_context& ctx)
{
    if (event.response_started || response_started_)
    {
        if (claim_held_)
        {
            add_action(settle_claim{make_claim(claim_state::unknown)});
        }
        add_action(end_request{false});
        stage_ = stage::finished;
        return;
    }
    excluded_.push_back(endpoint_);
    const failed_attempt failed{request_.idempotent, event.may_have_reached_endpoint,
                                event.response_started, request_.deadline};
    if (may_retry(failed, ctx.now) && ctx.retries.try_retry(request_.service))
    {
        make_plan(ctx);
        return;
    }
    const bool overloaded = event.outcome == attempt_outcome::overloaded;
    if (!overloaded && ctx.now >= request_.deadline)
    {
        fail(error_kind::deadline_exceeded, "the deadline has passed");
        return;
    }
    fail(overloaded ? error_kind::overloaded : error_kind::no_endpoint,
         "the attempt at the endpoint failed and may not be retried");
}

void request_flow::on(const timer_expired&, const flow_context& ctx)
{
    if (ctx.now >= request_.deadline)
    {
        give_up(error_kind::deadline_exceeded, "the deadline has passed");
        return;
    }
    switch (stage_)
    {
    case stage::locating_chat:
        locations_ = request_.hint;
        make_plan(ctx);
        break;
    case stage::sampling_load:
        finish_sampling(ctx);
        break;
    case stage::requesting_slot:
        cancel_slot_request();
        try_next_endpoint(ctx);
        break;
    case stage::pausing:
        // An endpoint that failed before the pause may have recovered.
        excluded_.clear();
        make_plan(ctx);
        break;
    default:
        wake(request_.deadline);
        break;
    }
}

void request_flow::give_up(error_kind kind, std::string_view message)
{
    if (stage_ == stage::running)
    {
        add_action(abort_attempt{attempt_});
        may_have_run_ = true;
    }
    if (stage_ == stage::requesting_slot)
    {
        cancel_slot_request();
    }
    release_held_slot(attempt_outcome::cancelled, 0);
    if (response_started_)
    {
        if (claim_held_)
        {
            add_action(settle_claim{make_claim(claim_state::unknown)});
        }
        add_action(end_request{false});
        stage_ = stage::finished;
        return;
    }
    fail(kind, message);
}

void request_flow::on(const admission_ended&, const flow_context&)
{
    if (stage_ != stage::running)
    {
        give_up(error_kind::stopping, "the instance stops");
    }
}

void request_flow::on(const instance_stopping&, const flow_context&)
{
    give_up(error_kind::stopping, "the instance stops");
}

void request_flow::on(const caller_left&, const flow_context&)
{
    // A call that is not idempotent continues, so that its outcome can be stored.
    if (stage_ == stage::running && !request_.idempotent)
    {
        return;
    }
    if (stage_ == stage::running)
    {
        add_action(abort_attempt{attempt_});
    }
    if (stage_ == stage::requesting_slot)
    {
        cancel_slot_request();
    }
    release_held_slot(attempt_outcome::cancelled, 0);
    if (claim_held_)
    {
        add_action(settle_claim{make_claim(claim_state::abandoned)});
    }
    add_action(end_request{false});
    stage_ = stage::finished;
}

void request_flow::cancel_slot_request()
{
    add_action(release_slot{slot_release{attempt_, endpoint_, attempt_outcome::cancelled, 0},
                            slot_local_});
}

void request_flow::release_held_slot(attempt_outcome outcome, std::uint32_t first_token_ms)
{
    if (std::exchange(slot_held_, false))
    {
        add_action(
            release_slot{slot_release{attempt_, endpoint_, outcome, first_token_ms}, slot_local_});
    }
}

error_kind request_flow::reported_kind(error_kind kind) const
{
    if (!may_have_run_ || !descriptor_of(kind).not_run)
    {
        return kind;
    }
    if (kind == error_kind::deadline_exceeded)
    {
        return error_kind::deadline_exceeded_running;
    }
    return request_.idempotent ? error_kind::endpoint_failed : error_kind::outcome_unknown;
}

void request_flow::fail(error_kind kind, std::string_view message)
{
    stage_ = stage::finished;
    if (claim_held_)
    {
        const auto state = may_have_run_ ? claim_state::unknown : claim_state::abandoned;
        add_action(settle_claim{make_claim(state)});
    }
    // The response does not wait for the store: whether the call ran is known without it.
    add_action(answer_error{reported_kind(kind), std::string{message}});
}

claim request_flow::make_claim(claim_state state) const
{
    claim result;
    result.account = request_.account;
    result.service = request_.service;
    result.key = request_.key;
    result.fingerprint = request_.fingerprint;
    result.attempt = claim_attempt_;
    result.state = state;
    return result;
}

std::uint64_t request_flow::next_sequence()
{
    return (number_ << sequence_bits) | (++count_ & ((1U << sequence_bits) - 1U));
}

void request_flow::next_attempt()
{
    attempt_.sequence = next_sequence();
}

void request_flow::wake(time_point at)
{
    add_action(wake_at{std::min(at, request_.deadline), ++wakes_});
}

const account_policy* request_flow::account(const flow_context& ctx) const
{
    return ctx.routes.settings().find_account(request_.account);
}

} // namespace mangovane

// Implementation of the state machine of one claim or settlement.
#include "mangovane/idempotency/claim_task.hpp"

#include <algorithm>
#include <utility>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/idempotency/claim_codec.hpp"

namespace mangovane
{

namespace
{

constexpr milliseconds initial_backoff{10};
constexpr milliseconds longest_backoff{320};
constexpr std::uint32_t max_doublings = 5; ///< From the initial to the longest backoff.

milliseconds backoff_after(std::uint32_t failures)
{
    return std::min(longest_backoff, initial_backoff * (1 << std::min(failures, max_doublings)));
}

} // namespace

claim_task::claim_task(claim wanted, time_point deadline, claim_writer::claim_handler handler)
    : operation_{claim_operation::claim}, target_{std::move(wanted)},
      row_key_{claim_row_key(target_.account, target_.service, target_.key)}, deadline_{deadline},
      on_claim_{std::move(handler)}
{}

claim_task::claim_task(claim settled, time_point deadline, claim_writer::settle_handler handler)
    : operation_{claim_operation::settle}, target_{std::move(settled)},
      row_key_{claim_row_key(target_.account, target_.service, target_.key)}, deadline_{deadline},
      on_settle_{std::move(handler)}
{}

std::size_t claim_task::body_bytes() const noexcept
{
    return target_.outcome ? target_.outcome->body.size() : 0;
}

void claim_task::set_known_claim(const stored_claim& held)
{
    expected_revision_ = held.revision;
    copy_times(held.content);
}

void claim_task::schedule_read(time_point now)
{
    stage_ = task_stage::backing_off;
    read_at_ = now;
}

void claim_task::copy_times(const claim& stored)
{
    target_.expires_unix_ms = stored.expires_unix_ms;
    target_.claimed_unix_ms = stored.claimed_unix_ms;
}

std::optional<table_write> claim_task::start_write()
{
    if (stage_ != task_stage::queued)
    {
        return std::nullopt;
    }
    stage_ = task_stage::writing;
    written_ = true;
    return table_write{row_key_, encode_claim(target_), expected_revision_};
}

bool claim_task::start_read(time_point now)
{
    if (stage_ != task_stage::backing_off || now < read_at_)
    {
        return false;
    }
    stage_ = task_stage::reading;
    return true;
}

void claim_task::on_call_failed(time_point now)
{
    stage_ = task_stage::backing_off;
    read_at_ = now + backoff_after(failures_);
    ++failures_;
}

task_result claim_task::on_row(const std::optional<table_row>& row)
{
    failures_ = 0;
    if (!row)
    {
        return on_stored(std::nullopt);
    }
    auto content = decode_claim(row->value);
    return content.ok() ? on_stored(stored_claim{*std::move(content), row->revision})
                        : fail(content.status());
}

task_result claim_task::on_stored(const std::optional<stored_claim>& stored)
{
    const auto decision = decide_row(operation_, target_, stored, expected_revision_);
    if (decision.action == row_action::write)
    {
        expected_revision_ = decision.expected_revision;
        stage_ = task_stage::queued;
        if (is_settlement())
        {
            copy_times(stored->content);
        }
        task_result result;
        result.requeue = true;
        return result;
    }
    if (operation_ == claim_operation::claim)
    {
        auto result =
            finish(claim_result{decision.action == row_action::acquired, decision.duplicate});
        result.acquired = decision.action == row_action::acquired ? stored : std::nullopt;
        return result;
    }
    return finish(
        decision.action == row_action::stored
            ? absl::OkStatus()
            : absl::FailedPreconditionError(
                  "the claim row of the idempotency key contains another claim or outcome"));
}

task_result claim_task::expire(time_point now, duration background)
{
    if (now < deadline_)
    {
        return {};
    }
    const auto status = make_error(error_kind::store_unavailable,
                                   "the table service did not answer before the deadline");
    auto result = fail(status);
    if (operation_ == claim_operation::claim && written_)
    {
        // After this error the attempt does not dispatch, so its claim can be abandoned at any
        // later time.
        operation_ = claim_operation::abandon;
        target_.state = claim_state::abandoned;
        deadline_ = now + background;
        result.ended = false;
    }
    return result;
}

task_result claim_task::fail(const absl::Status& status)
{
    task_result result = finish(status);
    if (operation_ == claim_operation::claim)
    {
        result.completion = [handler = std::exchange(on_claim_, nullptr), status]
        { handler(status); };
    }
    return result;
}

task_result claim_task::finish(claim_result result)
{
    task_result ended;
    ended.ended = true;
    ended.completion = [handler = std::exchange(on_claim_, nullptr), result = std::move(result)]
    { handler(result); };
    return ended;
}

task_result claim_task::finish(absl::Status status)
{
    task_result ended;
    ended.ended = true;
    if (on_settle_)
    {
        ended.completion = [handler = std::exchange(on_settle_, nullptr),
                            status = std::move(status)] { handler(status); };
    }
    return ended;
}

} // namespace mangovane

// Implementation of the forward flow.
#include "mangovane/forward/forward_flow.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace mangovane
{

namespace
{

/// Fraction of the objective for the first byte after which a stalled attempt is abandoned: the
/// remainder is enough for a second attempt that succeeds.
constexpr double stall_fraction = 0.7;

/// Shortest time after which an attempt counts as stalled.
constexpr milliseconds min_stall_timeout{100};

/// Delay advised to a refused caller, before jitter.
constexpr milliseconds retry_after_base{100};

/// Upper limit of the jitter added to the delay, so that refused callers do not all return at once.
constexpr std::uint64_t retry_after_jitter_ms = 200;

milliseconds stall_timeout(milliseconds goal)
{
    const milliseconds timeout{
        static_cast<milliseconds::rep>(stall_fraction * static_cast<double>(goal.count()))};
    return std::max(timeout, min_stall_timeout);
}

} // namespace

/// How a result counts for the endpoint's health, whether the endpoint may have run the request,
/// and the handler that decides the next step.
struct forward_flow::result_rule
{
    health_outcome outcome;
    bool may_have_run;
    forward_step (forward_flow::*next)(time_point);
};

forward_step forward_flow::start(time_point now)
{
    if (now >= request_.deadline)
    {
        return after_timeout(now);
    }
    admission_ = chooser_.ask_admission(request_, now);
    waiting_ = admission_.decision.verdict == admission_verdict::wait;
    if (waiting_)
    {
        return wait_step{admission_.ticket, admission_.decision.at};
    }
    return after_admission(admission_.decision, now);
}

forward_step forward_flow::on_admission(const admission_decision& decision, time_point now)
{
    end_wait(now);
    return after_admission(decision, now);
}

forward_step forward_flow::after_admission(const admission_decision& decision, time_point now)
{
    const bool refused = decision.verdict == admission_verdict::refuse && !stopping_;
    return refused ? refuse(decision, now) : send(false, now);
}

forward_step forward_flow::on_wait_over(bool caller_left, time_point now)
{
    std::optional<admission_decision> expired;
    if (!caller_left && !stopping_)
    {
        expired = chooser_.expire_wait(request_, admission_.ticket, now);
    }
    end_wait(now);
    if (caller_left)
    {
        return finish_step{false};
    }
    return expired ? refuse(*expired, now) : refuse(error_kind::stopping);
}

void forward_flow::end_wait(time_point now)
{
    if (std::exchange(waiting_, false))
    {
        chooser_.on_wait_ended(request_, admission_.ticket, now);
    }
}

dispatch_choice forward_flow::choose(choice_purpose purpose, time_point now)
{
    auto choice = chooser_.choose(request_, excluded_, purpose, now);
    if (!choice && abandoned_)
    {
        std::erase(excluded_, *std::exchange(abandoned_, std::nullopt));
        choice = chooser_.choose(request_, excluded_, purpose, now);
    }
    return choice;
}

forward_step forward_flow::send(bool resumes, time_point now)
{
    if (now >= request_.deadline)
    {
        return after_timeout(now);
    }
    if (stopping_)
    {
        return refuse(error_kind::stopping);
    }
    if (!prepared_)
    {
        const auto choice = choose(choice_purpose::dispatch, now);
        if (!choice)
        {
            return refuse(choice.refusal(), now);
        }
        prepared_ = prepared_choice{*choice, now};
    }
    auto [target, chosen_at] = *std::exchange(prepared_, std::nullopt);
    endpoint_ = target.endpoint;
    attempt_open_ = true;
    epoch_ = target.epoch;
    version_ = target.version;
    sent_at_ = now;
    excluded_.push_back(endpoint_);
    answering_since_.reset();
    survived_ = false;
    send_step step{std::move(target),          ++attempts_,       resumes,
                   chosen_at + max_choice_age, time_point::max(), milliseconds{0}};
    const auto& route = *request_.route;
    const bool replaceable = route.may_repeat() && possible_runs_ + 1 < route.max_attempts;
    if (replaceable && route.first_byte_goal.count() != 0)
    {
        const auto timeout = stall_timeout(route.first_byte_goal);
        step.first_byte_deadline = now + timeout;
        step.progress_timeout = route.kind == route_kind::stream ? milliseconds{0} : timeout;
    }
    if (replaceable && route.event_gap_goal.count() != 0)
    {
        // A stream whose events keep within the objective is sound, however slow it is.
        step.progress_timeout = std::max(route.event_gap_goal, min_stall_timeout);
    }
    return step;
}

forward_step forward_flow::on_result(attempt_result result, time_point now)
{
    static constexpr std::array<result_rule, attempt_result_count> table{{
        {health_outcome::answered, true, &forward_flow::after_delivered},
        {health_outcome::unreachable, false, &forward_flow::after_not_sent},
        {health_outcome::full, false, &forward_flow::after_refusal},
        {health_outcome::replaced, false, &forward_flow::after_refusal},
        {health_outcome::failed, true, &forward_flow::after_error},
        {health_outcome::failed, true, &forward_flow::after_broken},
        {health_outcome::crashed, true, &forward_flow::after_crash},
        {health_outcome::failed, true, &forward_flow::after_broken},
        {health_outcome::failed, true, &forward_flow::after_cut},
        {health_outcome::failed, true, &forward_flow::after_timeout},
        {health_outcome::cancelled, true, &forward_flow::after_caller_left},
        {health_outcome::cancelled, false, &forward_flow::after_outdated},
        {health_outcome::cancelled, true, &forward_flow::after_stop},
    }};
    const auto& rule = table[static_cast<std::size_t>(result)];
    attempt_open_ = false;
    report_end(endpoint_, version_, rule.outcome, version_response_of(result, now), now);
    abandoned_ = prepared_ ? std::optional{endpoint_} : abandoned_;
    possible_runs_ += rule.may_have_run ? 1 : 0;
    not_run_attempts_ += rule.may_have_run ? 0 : 1;
    auto next = (this->*rule.next)(now);
    release_prepared(now);
    return next;
}

void forward_flow::abandon(time_point now)
{
    if (std::exchange(attempt_open_, false))
    {
        report_end(endpoint_, version_, health_outcome::cancelled, std::nullopt, now);
    }
    end_wait(now);
    release_prepared(now);
}

bool forward_flow::may_run_again(std::uint32_t runs, time_point now) const noexcept
{
    return !stopping_ && request_.route->may_repeat() && runs < request_.route->max_attempts &&
           now < request_.deadline;
}

bool forward_flow::prepare_replacement(time_point now)
{
    // `possible_runs_` does not include the current attempt yet.
    return is_continuable() && may_run_again(possible_runs_ + 1, now) &&
           !prepare_retry(choice_purpose::replacement, now);
}

std::optional<choice_refusal> forward_flow::prepare_retry(choice_purpose purpose, time_point now)
{
    if (prepared_)
    {
        return std::nullopt;
    }
    const auto choice = choose(purpose, now);
    if (!choice)
    {
        return choice.refusal();
    }
    prepared_ = prepared_choice{*choice, now};
    if (!chooser_.try_retry(request_.service, now))
    {
        release_prepared(now);
        return choice_refusal{error_kind::endpoint_failed};
    }
    return std::nullopt;
}

void forward_flow::release_prepared(time_point now)
{
    if (const auto unused = std::exchange(prepared_, std::nullopt))
    {
        const auto& target = unused->target;
        report_end(target.endpoint, target.version, health_outcome::cancelled, std::nullopt, now);
    }
}

void forward_flow::report_end(endpoint_id endpoint,
                              const std::string& version,
                              health_outcome outcome,
                              const std::optional<version_response>& response,
                              time_point now)
{
    chooser_.on_tokens_released(endpoint, request_.tokens);
    chooser_.finish(endpoint, outcome, now);
    chooser_.on_version_ended(
        {request_.service, version, endpoint, hash_bytes(request_.route->name)}, response, now);
}

std::optional<version_response> forward_flow::version_response_of(attempt_result result,
                                                                  time_point now) const
{
    const bool failed = result == attempt_result::error;
    // An attempt that is given up has taken at least this long: without it, a version that is slow
    // enough to be abandoned would not show as slow.
    const bool late = !answering_since_ &&
                      (result == attempt_result::stalled || result == attempt_result::timed_out);
    if (!failed && !late && result != attempt_result::delivered)
    {
        return std::nullopt;
    }
    // Responses that are no streams have no events: all of their bytes are relayed at the end.
    const auto begun = answering_since_.value_or(now);
    return version_response{failed, std::chrono::duration_cast<milliseconds>(begun - sent_at_)};
}

void forward_flow::on_event(time_point now)
{
    if (!answering_since_)
    {
        answering_since_ = now;
    }
    else if (now >= *answering_since_ + survival_time)
    {
        on_survived(now);
    }
}

void forward_flow::on_survived(time_point now)
{
    if (!std::exchange(survived_, true))
    {
        chooser_.on_survived(request_, now);
    }
}

forward_step forward_flow::after_delivered(time_point now)
{
    on_survived(now);
    chooser_.on_delivered(request_, now - sent_at_);
    return finish_step{true};
}

forward_step forward_flow::after_not_sent(time_point now)
{
    // This attempt did not reach its endpoint, so the retry budget is not charged.
    return not_run_attempts_ <= max_not_run_attempts ? send(response_started_, now)
                                                     : refuse(error_kind::no_endpoint);
}

forward_step forward_flow::after_refusal(time_point now)
{
    const bool again =
        not_run_attempts_ < max_not_run_attempts && chooser_.try_retry(request_.service, now);
    return again ? send(response_started_, now) : refuse(error_kind::overloaded);
}

forward_step forward_flow::after_error(time_point now)
{
    const bool again =
        may_run_again(possible_runs_, now) && !prepare_retry(choice_purpose::dispatch, now);
    return again ? send(false, now) : forward_step{relay_error_step{}};
}

forward_step forward_flow::after_broken(time_point now)
{
    if (!may_run_again(possible_runs_, now))
    {
        return refuse(error_kind::endpoint_failed);
    }
    const auto refusal = prepare_retry(choice_purpose::dispatch, now);
    return refusal ? refuse(*refusal, now) : send(response_started_, now);
}

forward_step forward_flow::after_crash(time_point now)
{
    ++crashes_;
    const bool may_repeat = chooser_.on_crash(request_, endpoint_, epoch_, now);
    if (!may_repeat || crashes_ >= max_crashes)
    {
        return refuse(error_kind::endpoint_failed);
    }
    return response_started_ ? after_cut(now) : after_broken(now);
}

forward_step forward_flow::after_cut(time_point now)
{
    const bool resumes = is_continuable() && may_run_again(possible_runs_, now) &&
                         !prepare_retry(choice_purpose::dispatch, now);
    return resumes ? send(true, now) : forward_step{finish_step{false}};
}

forward_step forward_flow::after_timeout(time_point)
{
    return refuse(error_kind::deadline_exceeded);
}

forward_step forward_flow::after_caller_left(time_point)
{
    return finish_step{false};
}

forward_step forward_flow::after_outdated(time_point now)
{
    // The delay is not the endpoint's fault, so it may be chosen again.
    excluded_.pop_back();
    return after_not_sent(now);
}

forward_step forward_flow::after_stop(time_point)
{
    return refuse(error_kind::stopping);
}

forward_step forward_flow::refuse(error_kind kind) const
{
    if (response_started_)
    {
        return finish_step{false};
    }
    const auto jitter_ms = hash_bytes(request_.request) % retry_after_jitter_ms;
    const auto resolved = resolve_error(kind);
    const bool retryable = descriptor_of(resolved).retry_after_s != 0;
    return refuse_step{
        resolved, retryable ? retry_after_base + milliseconds{jitter_ms} : milliseconds{0}, {}};
}

forward_step forward_flow::refuse(const choice_refusal& refusal, time_point now) const
{
    auto result = refuse(refusal.kind);
    auto* step = std::get_if<refuse_step>(&result);
    if (step != nullptr)
    {
        step->verdict = refusal.verdict;
        const bool advises = step->retry_after.count() != 0 && refusal.retry_at > now;
        step->retry_after +=
            advises ? std::chrono::ceil<milliseconds>(refusal.retry_at - now) : milliseconds{0};
    }
    return result;
}

forward_step forward_flow::refuse(const admission_decision& decision, time_point now) const
{
    // Nothing has been sent. The queue has spread the advised times already.
    const auto delay = std::max<duration>(decision.at - now, milliseconds{1});
    return refuse_step{
        error_kind::overloaded, std::chrono::ceil<milliseconds>(delay), {}, decision.reason};
}

error_kind forward_flow::resolve_error(error_kind kind) const noexcept
{
    if (possible_runs_ == 0)
    {
        return kind;
    }
    if (kind == error_kind::deadline_exceeded)
    {
        return error_kind::deadline_exceeded_running;
    }
    return request_.route->may_repeat() ? error_kind::endpoint_failed : error_kind::outcome_unknown;
}

} // namespace mangovane

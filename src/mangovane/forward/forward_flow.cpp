// Implementation of the flow of a request.
#include "mangovane/forward/forward_flow.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace mangovane
{

namespace
{

/// Part of the objective after which a silent endpoint is given up for another: the rest is enough
/// for a second attempt that goes well.
constexpr double silent_part = 0.7;

/// An endpoint with less time than this to answer is not given up for being silent.
constexpr milliseconds shortest_silence{100};

/// When a caller that was refused should come back, before chance is added.
constexpr milliseconds refusal_pause{100};

/// Largest addition of chance to the pause, so that refused callers do not come back together.
constexpr std::uint64_t refusal_spread_ms = 200;

milliseconds part_of(milliseconds goal)
{
    const milliseconds part{
        static_cast<milliseconds::rep>(silent_part * static_cast<double>(goal.count()))};
    return std::max(part, shortest_silence);
}

} // namespace

/// What a result says of the endpoint, and what follows.
struct forward_flow::result_rule
{
    health_outcome end;
    bool may_have_run;
    forward_step (forward_flow::*next)(time_point);
};

forward_step forward_flow::start(time_point now)
{
    return send(false, now);
}

forward_step forward_flow::send(bool resumes, time_point now)
{
    if (now >= request_.deadline)
    {
        return after_timeout(now);
    }
    auto target = chooser_.choose(request_, excluded_, now);
    if (!target)
    {
        return response_started_ ? forward_step{finish_step{false}}
                                 : refuse(error_kind::no_endpoint);
    }
    endpoint_ = target->endpoint;
    excluded_.push_back(endpoint_);
    send_step step{std::move(*target), ++attempts_, resumes, time_point::max(), milliseconds{0}};
    const bool replaceable =
        request_.route->may_repeat() && runs_ + 1 < request_.route->max_attempts;
    if (replaceable && request_.route->first_byte_goal.count() != 0)
    {
        step.first_byte_deadline = now + part_of(request_.route->first_byte_goal);
    }
    if (replaceable && request_.route->event_gap_goal.count() != 0)
    {
        step.event_gap_timeout = part_of(request_.route->event_gap_goal);
    }
    return step;
}

forward_step forward_flow::on_result(attempt_result result, time_point now)
{
    static constexpr std::array<result_rule, attempt_result_count> table{{
        {health_outcome::answered, true, &forward_flow::after_end},
        {health_outcome::unreachable, false, &forward_flow::after_not_sent},
        {health_outcome::full, false, &forward_flow::after_refusal},
        {health_outcome::replaced, false, &forward_flow::after_refusal},
        {health_outcome::failed, true, &forward_flow::after_error},
        {health_outcome::failed, true, &forward_flow::after_broken},
        {health_outcome::failed, true, &forward_flow::after_broken},
        {health_outcome::failed, true, &forward_flow::after_cut},
        {health_outcome::failed, true, &forward_flow::after_timeout},
        {health_outcome::cancelled, true, &forward_flow::after_caller_left},
    }};
    const auto& rule = table[static_cast<std::size_t>(result)];
    chooser_.finish(endpoint_, rule.end, now);
    runs_ += rule.may_have_run ? 1 : 0;
    refusals_ += rule.may_have_run ? 0 : 1;
    return (this->*rule.next)(now);
}

bool forward_flow::may_retry_stalled(time_point now)
{
    // `runs_` does not count the attempt under way yet.
    if (!request_.route->may_repeat() || runs_ + 1 >= request_.route->max_attempts ||
        now >= request_.deadline)
    {
        return false;
    }
    retry_taken_ = retry_taken_ || chooser_.try_retry(request_.service, now);
    return retry_taken_;
}

bool forward_flow::may_run_again(time_point now)
{
    if (!request_.route->may_repeat() || runs_ >= request_.route->max_attempts ||
        now >= request_.deadline)
    {
        return false;
    }
    return std::exchange(retry_taken_, false) || chooser_.try_retry(request_.service, now);
}

forward_step forward_flow::after_end(time_point)
{
    return finish_step{true};
}

forward_step forward_flow::after_not_sent(time_point now)
{
    // Nothing arrived anywhere: the retry budget is for requests that do.
    return refusals_ <= max_refusals ? send(response_started_, now)
                                     : refuse(error_kind::no_endpoint);
}

forward_step forward_flow::after_refusal(time_point now)
{
    const bool again = refusals_ < max_refusals && chooser_.try_retry(request_.service, now);
    return again ? send(response_started_, now) : refuse(error_kind::overloaded);
}

forward_step forward_flow::after_error(time_point now)
{
    return may_run_again(now) ? send(false, now) : forward_step{relay_error_step{}};
}

forward_step forward_flow::after_broken(time_point now)
{
    return may_run_again(now) ? send(response_started_, now) : refuse(error_kind::endpoint_failed);
}

forward_step forward_flow::after_cut(time_point now)
{
    return may_run_again(now) ? send(true, now) : forward_step{finish_step{false}};
}

forward_step forward_flow::after_timeout(time_point)
{
    return refuse(error_kind::deadline_exceeded);
}

forward_step forward_flow::after_caller_left(time_point)
{
    return finish_step{false};
}

forward_step forward_flow::refuse(error_kind kind) const
{
    if (response_started_)
    {
        return finish_step{false};
    }
    const auto chance = hash_bytes(request_.request) % refusal_spread_ms;
    const auto truth = truthful(kind);
    const bool come_back = answer_for(truth).retry_after_s != 0;
    return refuse_step{truth, come_back ? refusal_pause + milliseconds{chance} : milliseconds{0}};
}

error_kind forward_flow::truthful(error_kind kind) const noexcept
{
    if (runs_ == 0)
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

// Implementation of the simulated caller.
#include "bench/control_port.hpp"

#include <algorithm>

namespace mangovane::bench
{

namespace
{

constexpr milliseconds first_byte_time{100};

} // namespace

void control_port::send(const send_attempt& action)
{
    ++context_.outcome.attempts;
    ++context_.in_flight[action.endpoint];
    context_.schedule(first_byte_time, [self = shared_from_this(), attempt = action.attempt]
                      { self->on_first_byte(attempt); });
    context_.schedule(context_.response_time,
                      [self = shared_from_this(), action] { self->on_end(action); });
}

void control_port::on_first_byte(attempt_id attempt)
{
    context_.core.on_event(number_, attempt_answered{attempt}, context_.now);
}

void control_port::on_end(const send_attempt& action)
{
    --context_.in_flight[action.endpoint];
    attempt_ended ended;
    ended.attempt = action.attempt;
    ended.outcome = attempt_outcome::succeeded;
    ended.response_started = true;
    ended.response_complete = true;
    ended.first_token_ms = static_cast<std::uint32_t>(first_byte_time.count());
    context_.core.on_event(number_, ended, context_.now);
}

void control_port::answer(const answer_error&)
{
    closed_ = true;
    ++context_.outcome.refused;
}

void control_port::end(const end_request&)
{
    closed_ = true;
    ++context_.outcome.answered;
}

void control_port::wake(const wake_at& action)
{
    if (action.number <= last_wake_)
    {
        return;
    }
    last_wake_ = action.number;
    const auto in = std::max(action.at - context_.now, duration{0});
    context_.schedule(in,
                      [self = shared_from_this(), number = action.number]
                      {
                          if (self->last_wake_ == number && !self->closed_)
                          {
                              self->context_.core.on_event(self->number_, timer_expired{},
                                                           self->context_.now);
                          }
                      });
}

} // namespace mangovane::bench

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
    ++events_.outcome.attempts;
    ++events_.in_flight[action.endpoint];
    events_.schedule(first_byte_time, [self = shared_from_this(), attempt = action.attempt]
                     { self->on_first_byte(attempt); });
    events_.schedule(events_.answer_time,
                     [self = shared_from_this(), action] { self->on_end(action); });
}

void control_port::on_first_byte(attempt_id attempt)
{
    events_.core.on_event(number_, attempt_answered{attempt}, events_.now);
}

void control_port::on_end(const send_attempt& action)
{
    --events_.in_flight[action.endpoint];
    attempt_ended ended;
    ended.attempt = action.attempt;
    ended.outcome = attempt_outcome::succeeded;
    ended.answer_started = true;
    ended.answer_complete = true;
    ended.first_token_ms = static_cast<std::uint32_t>(first_byte_time.count());
    events_.core.on_event(number_, ended, events_.now);
}

void control_port::answer(const answer_error&)
{
    closed_ = true;
    ++events_.outcome.refused;
}

void control_port::end(const end_request&)
{
    closed_ = true;
    ++events_.outcome.answered;
}

void control_port::wake(const wake_at& action)
{
    const auto in = std::max(action.at - events_.now, duration{0});
    events_.schedule(in,
                     [self = shared_from_this(), number = ++wakes_]
                     {
                         if (self->wakes_ == number && !self->closed_)
                         {
                             self->events_.core.on_event(self->number_, timer_expired{},
                                                         self->events_.now);
                         }
                     });
}

} // namespace mangovane::bench

// Implementation of the fake caller.
#include "fleet_port.hpp"

#include <algorithm>
#include <string>

namespace mangovane::test
{

void fleet_port::enqueue_task(std::function<void()> task)
{
    node_.inbox.emplace_back([self = shared_from_this(), task = std::move(task)] { task(); });
}

void fleet_port::run_timer(time_point now)
{
    if (wake_at_ && *wake_at_ <= now && !closed_)
    {
        wake_at_.reset();
        node_.core->on_event(number_, timer_expired{}, now);
    }
}

void fleet_port::on_attempt_ended(const attempt_ended& event)
{
    if (event.response_complete && event.stored)
    {
        response_of_ = std::stoull(event.stored->body);
    }
}

void fleet_port::send(const send_attempt& action)
{
    enqueue_task([this, action] { fleet_.send_attempt_to(node_, number_, call_, action); });
}

void fleet_port::abort(const abort_attempt& action)
{
    enqueue_task(
        [this, action]
        {
            for (auto& engine : fleet_.engines_)
            {
                std::erase_if(engine.runs,
                              [&](const engine_run& it) { return it.attempt == action.attempt; });
            }
        });
}

void fleet_port::claim(const claim_key& action)
{
    // Same limit as the daemon: a claim waits at most 2 s for the table.
    const auto deadline = std::min(fleet_.calls_[call_].deadline, fleet_.now_ + seconds{2});
    const auto on_claimed = [self = shared_from_this(),
                             wanted = action.wanted](const absl::StatusOr<claim_result>& result)
    {
        claim_decided event{wanted.attempt, false, !result.ok(), {}};
        if (result.ok())
        {
            event.acquired =
                result->acquired || self->fleet_.options_.fault == injected_fault::duplicate_claim;
            event.duplicate = result->duplicate;
        }
        self->enqueue_task(
            [self, wanted, event]
            {
                if (!self->node_.core->on_event(self->number_, event, self->fleet_.now_) &&
                    event.acquired)
                {
                    auto given_up = wanted;
                    given_up.state = claim_state::abandoned;
                    self->node_.claims->settle(given_up, self->fleet_.now_,
                                               self->fleet_.now_ + seconds{30},
                                               [](const absl::Status&) {});
                }
            });
    };
    enqueue_task([this, wanted = action.wanted, deadline, on_claimed]
                 { node_.claims->claim_key(wanted, fleet_.now_, deadline, on_claimed); });
}

void fleet_port::settle(const settle_claim& action)
{
    enqueue_task(
        [this, action]
        {
            node_.claims->settle(action.settled, fleet_.now_,
                                 fleet_.calls_[call_].deadline + seconds{30},
                                 [](const absl::Status&) {});
        });
}

void fleet_port::finish(call_outcome end)
{
    closed_ = true;
    auto& call = fleet_.calls_[call_];
    if (call.end == call_outcome::pending)
    {
        call.end = end;
        call.response_of = response_of_;
        if (fleet_.options_.fault == injected_fault::swap_responses && call.id > 0)
        {
            call.response_of = call.id - 1;
        }
        fleet_.check_call_outcome(call);
    }
}

void fleet_port::answer(const answer_error& action)
{
    fleet_.calls_[call_].kind = action.kind;
    finish(call_outcome::rejected);
}

void fleet_port::answer(const answer_stored& action)
{
    response_of_ = std::stoull(action.outcome.body);
    finish(call_outcome::responded_from_claim);
}

void fleet_port::end(const end_request& action)
{
    finish(action.complete ? call_outcome::responded : call_outcome::aborted);
}

void fleet_port::wake(const wake_at& action)
{
    if (action.number > last_wake_)
    {
        last_wake_ = action.number;
        wake_at_ = action.at;
    }
}

} // namespace mangovane::test

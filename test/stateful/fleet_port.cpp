// Implementation of the fake caller.
#include "fleet_port.hpp"

#include <algorithm>
#include <string>

namespace mangovane::test
{

void fleet_port::later(std::function<void()> task)
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
    if (event.answer_complete && event.stored)
    {
        answer_ = std::stoull(event.stored->body);
    }
}

void fleet_port::send(const send_attempt& action)
{
    later([this, action] { world_.send_attempt_to(node_, number_, call_, action); });
}

void fleet_port::abort(const abort_attempt& action)
{
    later(
        [this, action]
        {
            for (auto& engine : world_.engines_)
            {
                std::erase_if(engine.runs,
                              [&](const engine_run& it) { return it.attempt == action.attempt; });
            }
        });
}

void fleet_port::claim(const claim_key& action)
{
    // As the daemon does: a claim waits for the table for 2 s at most.
    const auto deadline = std::min(world_.calls_[call_].deadline, world_.now_ + seconds{2});
    const auto on_claimed = [self = shared_from_this(),
                             wanted = action.wanted](const absl::StatusOr<claim_result>& result)
    {
        claim_decided event{wanted.attempt, false, !result.ok(), {}};
        if (result.ok())
        {
            event.acquired =
                result->acquired || self->world_.options_.fault == planted_fault::claim_twice;
            event.duplicate = result->duplicate;
        }
        self->later(
            [self, wanted, event]
            {
                if (!self->node_.core->on_event(self->number_, event, self->world_.now_) &&
                    event.acquired)
                {
                    auto given_up = wanted;
                    given_up.state = claim_state::abandoned;
                    self->node_.claims->settle(given_up, self->world_.now_,
                                               self->world_.now_ + seconds{30},
                                               [](const absl::Status&) {});
                }
            });
    };
    later([this, wanted = action.wanted, deadline, on_claimed]
          { node_.claims->claim_key(wanted, world_.now_, deadline, on_claimed); });
}

void fleet_port::settle(const settle_claim& action)
{
    later(
        [this, action]
        {
            node_.claims->settle(action.settled, world_.now_,
                                 world_.calls_[call_].deadline + seconds{30},
                                 [](const absl::Status&) {});
        });
}

void fleet_port::finish(call_end end)
{
    closed_ = true;
    auto& call = world_.calls_[call_];
    if (call.end == call_end::open)
    {
        call.end = end;
        call.answer = answer_;
        if (world_.options_.fault == planted_fault::swap_answers && call.id > 0)
        {
            call.answer = call.id - 1;
        }
        world_.check_call_end(call);
    }
}

void fleet_port::answer(const answer_error& action)
{
    world_.calls_[call_].kind = action.kind;
    finish(call_end::refused);
}

void fleet_port::answer(const answer_stored& action)
{
    answer_ = std::stoull(action.outcome.body);
    finish(call_end::stored);
}

void fleet_port::end(const end_request& action)
{
    finish(action.complete ? call_end::answered : call_end::cut);
}

void fleet_port::wake(const wake_at& action)
{
    wake_at_ = action.at;
}

} // namespace mangovane::test

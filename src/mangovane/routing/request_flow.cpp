// Implementation of the request flow: from the arrival of a request to a granted slot.
#include "mangovane/routing/request_flow.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <utility>

#include "mangovane/ledger/endpoint_ledger.hpp"
#include "mangovane/placement/chat_directory.hpp"

namespace mangovane
{

namespace
{

/// Longest wait for the answer of an instance that owns something.
constexpr milliseconds owner_timeout{250};
/// Longest stay in one queue before the endpoints are compared again.
constexpr milliseconds queue_stay{1000};
/// Longest time from asking for a slot to the dispatch. Shorter than the lease: an endpoint that
/// begins to leave after the grant gets no new work after 3 s, even from a holder that the
/// platform's list does not reach.
constexpr milliseconds slot_use_time{2500};
/// Pause before a new plan when no endpoint could be asked.
constexpr milliseconds plan_pause{100};
/// Pauses in a row before the request is refused; views agree again within this time (3 s).
constexpr std::uint32_t max_pauses = 30;

bool contains(const std::vector<endpoint_id>& list, endpoint_id id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// An owner that is one in the sender's view only does not count as heard.
bool is_owner_answer(slot_refusal_reason reason)
{
    return reason != slot_refusal_reason::unreachable && reason != slot_refusal_reason::not_owner;
}

} // namespace

request_flow::request_flow(routed_request request, attempt_id first, std::uint64_t number)
    : request_{std::move(request)}, attempt_{first}, number_{number}
{}

flow_actions request_flow::start(const flow_context& ctx)
{
    actions_.clear();
    const auto& settings = ctx.routes.settings();
    const auto* service = settings.find_service(request_.service);
    const auto* policy = account(ctx);
    if (service == nullptr)
    {
        fail(error_kind::unknown_service, "the service is not in the settings");
    }
    else if (policy == nullptr)
    {
        fail(error_kind::unauthenticated, "the client account is not in the settings");
    }
    else if (!policy->services.empty() &&
             std::find(policy->services.begin(), policy->services.end(), request_.service) ==
                 policy->services.end())
    {
        fail(error_kind::forbidden, "the client account may not use this service");
    }
    else if (!request_.model.empty() && !policy->models.empty() &&
             std::find(policy->models.begin(), policy->models.end(), request_.model) ==
                 policy->models.end())
    {
        fail(error_kind::forbidden, "the client account may not use this model");
    }
    else if (request_.deadline <= ctx.now)
    {
        fail(error_kind::deadline_exceeded, "the deadline has passed");
    }
    else if (service->key_required && !request_.idempotent && request_.key.empty())
    {
        fail(error_kind::key_required, "the service requires an Idempotency-Key for this call");
    }
    else
    {
        is_model_ = service->kind == service_kind::model;
        weight_ = policy->weight;
        warm_wait_ = service->warm_wait;
        sample_size_ = service->sample_size;
        request_.priority = std::max(request_.priority, policy->highest_class);
        act(check_limits{});
        wake(request_.deadline);
    }
    return std::exchange(actions_, {});
}

flow_actions request_flow::on_event(const flow_event& event, const flow_context& ctx)
{
    actions_.clear();
    if (stage_ != stage::finished)
    {
        std::visit([&](const auto& it) { on(it, ctx); }, event);
    }
    return std::exchange(actions_, {});
}

void request_flow::on(const limits_decided& event, const flow_context& ctx)
{
    if (stage_ != stage::admitting)
    {
        return;
    }
    if (!event.granted)
    {
        fail(error_kind::rate_limited, "a limit of the client account is reached");
        return;
    }
    locate(ctx);
}

void request_flow::locate(const flow_context& ctx)
{
    if (!is_model_ || request_.chat.empty())
    {
        make_plan(ctx);
        return;
    }
    stage_ = stage::locating;
    ticket_ = next_sequence();
    act(query_chat{ticket_, request_.chat});
    wake(ctx.now + owner_timeout);
}

void request_flow::on(const chat_answer& event, const flow_context& ctx)
{
    if (stage_ != stage::locating || event.ticket != ticket_)
    {
        return;
    }
    ++chat_answers_;
    if (event.locations.empty() && chat_answers_ < chat_replicas)
    {
        // The other copy may know the chat: this one may have been replaced.
        return;
    }
    locations_ = event.locations.empty() ? request_.hint : event.locations;
    make_plan(ctx);
}

void request_flow::make_plan(const flow_context& ctx)
{
    heard_owner_ = false;
    saw_full_queue_ = false;
    waited_ = false;
    const auto* policy = account(ctx);
    if (policy == nullptr)
    {
        fail(error_kind::forbidden, "the client account was removed from the settings");
        return;
    }
    auto candidates = ctx.routes.candidates(request_.service, *policy, request_.model);
    std::erase_if(candidates,
                  [&](const candidate& it) { return contains(excluded_, it.endpoint); });
    if (candidates.empty())
    {
        pause_or_fail(ctx);
        return;
    }
    const auto key = request_.chat.empty() ? ctx.seed : request_.chat.value();
    plan_ = ctx.strategy.plan(placement_query{key, ctx.seed, locations_, candidates, sample_size_});
    begin_step(plan_step::warm_first, ctx);
}

void request_flow::begin_step(plan_step step, const flow_context& ctx)
{
    using begin_function = void (request_flow::*)(const flow_context&);
    static constexpr std::array<begin_function, 7> table{
        &request_flow::begin_warm_first, &request_flow::begin_warm_second,
        &request_flow::begin_sampled,    &request_flow::begin_overflow,
        &request_flow::begin_queued,     &request_flow::begin_local_share,
        &request_flow::begin_exhausted};
    step_ = step;
    tries_.clear();
    (this->*table[static_cast<std::size_t>(step)])(ctx);
}

void request_flow::begin_warm_first(const flow_context& ctx)
{
    if (!plan_.warm.empty())
    {
        tries_.push_back(plan_.warm.front());
    }
    next_try(ctx);
}

void request_flow::begin_warm_second(const flow_context& ctx)
{
    if (plan_.warm.size() > 1)
    {
        tries_.push_back(plan_.warm[1]);
    }
    next_try(ctx);
}

void request_flow::begin_sampled(const flow_context& ctx)
{
    stage_ = stage::sampling;
    loads_.clear();
    loads_wanted_ = plan_.sample.size();
    if (plan_.sample.empty())
    {
        finish_sampling(ctx);
        return;
    }
    ticket_ = next_sequence();
    for (const auto endpoint : plan_.sample)
    {
        act(query_load{ticket_, endpoint});
    }
    wake(ctx.now + owner_timeout);
}

void request_flow::on(const load_answer& event, const flow_context& ctx)
{
    if (stage_ != stage::sampling || event.ticket != ticket_)
    {
        return;
    }
    loads_.push_back(event);
    if (loads_.size() >= loads_wanted_)
    {
        finish_sampling(ctx);
    }
}

void request_flow::finish_sampling(const flow_context& ctx)
{
    std::erase_if(loads_, [](const load_answer& it) { return it.allowed == 0; });
    // Descending, since the tries are taken from the back.
    std::stable_sort(loads_.begin(), loads_.end(),
                     [](const load_answer& lhs, const load_answer& rhs)
                     { return lhs.in_flight + lhs.queued > rhs.in_flight + rhs.queued; });
    for (const auto& it : loads_)
    {
        tries_.push_back(it.endpoint);
    }
    next_try(ctx);
}

void request_flow::begin_overflow(const flow_context& ctx)
{
    tries_ = plan_.fallback;
    std::reverse(tries_.begin(), tries_.end());
    for (const auto& it : loads_)
    {
        tries_.push_back(it.endpoint);
    }
    next_try(ctx);
}

void request_flow::begin_queued(const flow_context& ctx)
{
    // The chat's own endpoint first: the wait is then worth a prefix as well.
    if (!plan_.warm.empty())
    {
        tries_.push_back(plan_.warm.front());
    }
    else if (!loads_.empty())
    {
        tries_.push_back(loads_.back().endpoint);
    }
    next_try(ctx);
}

void request_flow::begin_local_share(const flow_context& ctx)
{
    if (!heard_owner_)
    {
        tries_ = plan_.fallback;
        tries_.insert(tries_.end(), plan_.sample.rbegin(), plan_.sample.rend());
        tries_.insert(tries_.end(), plan_.warm.rbegin(), plan_.warm.rend());
    }
    next_try(ctx);
}

void request_flow::begin_exhausted(const flow_context& ctx)
{
    if (saw_full_queue_)
    {
        fail(error_kind::queue_full, "the wait queue is full");
    }
    else if (waited_)
    {
        make_plan(ctx);
    }
    else
    {
        pause_or_fail(ctx);
    }
}

void request_flow::pause_or_fail(const flow_context& ctx)
{
    if (++pauses_ > max_pauses)
    {
        fail(heard_owner_ ? error_kind::overloaded : error_kind::no_endpoint,
             "no endpoint of the service takes the request");
        return;
    }
    stage_ = stage::pausing;
    wake(ctx.now + plan_pause);
}

void request_flow::next_try(const flow_context& ctx)
{
    if (tries_.empty())
    {
        begin_step(static_cast<plan_step>(static_cast<std::uint8_t>(step_) + 1), ctx);
        return;
    }
    const auto endpoint = tries_.back();
    tries_.pop_back();
    switch (step_)
    {
    case plan_step::warm_first:
        ask(endpoint, slot_purpose::returning_chat, ctx.now + warm_wait_, ctx);
        break;
    case plan_step::warm_second:
        ask(endpoint, slot_purpose::returning_chat, ctx.now, ctx);
        break;
    case plan_step::sampled:
        ask(endpoint, slot_purpose::new_chat, ctx.now, ctx);
        break;
    case plan_step::queued:
        ask(endpoint, slot_purpose::overflow, ctx.now + queue_stay, ctx);
        break;
    default:
        ask(endpoint, slot_purpose::overflow, ctx.now, ctx);
        break;
    }
}

void request_flow::ask(endpoint_id endpoint,
                       slot_purpose purpose,
                       time_point wait_until,
                       const flow_context& ctx)
{
    next_attempt();
    stage_ = stage::asking;
    endpoint_ = endpoint;
    asked_at_ = ctx.now;
    slot_local_ = step_ == plan_step::local_share;
    const auto until = std::min(wait_until, request_.deadline);
    act(request_slot{slot_request{attempt_, endpoint, request_.service, request_.account,
                                  request_.priority, weight_, purpose, until, request_.deadline},
                     slot_local_});
    wake(until + owner_timeout);
}

void request_flow::on(const slot_refusal& event, const flow_context& ctx)
{
    if (stage_ != stage::asking || event.attempt != attempt_)
    {
        return;
    }
    heard_owner_ = heard_owner_ || is_owner_answer(event.reason);
    saw_full_queue_ = saw_full_queue_ || event.reason == slot_refusal_reason::queue_full;
    waited_ = waited_ ||
              (event.reason == slot_refusal_reason::wait_expired && step_ == plan_step::queued);
    if (event.reason == slot_refusal_reason::deadline && step_ == plan_step::queued)
    {
        fail(error_kind::overloaded, "the expected wait passes the deadline");
        return;
    }
    next_try(ctx);
}

void request_flow::on(const slot_grant& event, const flow_context& ctx)
{
    if (stage_ != stage::asking || event.attempt != attempt_)
    {
        act(release_slot{
            slot_release{event.attempt, event.endpoint, attempt_outcome::cancelled, 0}});
        return;
    }
    slot_held_ = true;
    lease_until_ = asked_at_ + slot_use_time;
    pauses_ = 0;
    dispatch_or_claim(ctx);
}

} // namespace mangovane

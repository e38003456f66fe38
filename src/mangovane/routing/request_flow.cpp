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

/// Timeout of a query or slot request to an owner.
constexpr milliseconds owner_timeout{250};
/// Maximum wait in one queue; then a new plan compares the endpoints again.
constexpr milliseconds max_queue_time{1000};
/// Maximum time from the request for a slot to the dispatch. Shorter than the lease, so that an
/// endpoint that starts to leave after the grant gets no new work after 3 s, even from a holder
/// that does not receive the platform's list.
constexpr milliseconds max_dispatch_delay{2500};
/// Pause before a new plan if no endpoint granted a slot.
constexpr milliseconds plan_pause{100};
/// Consecutive pauses before the request is refused. They take 3 s, within which the membership
/// views of the instances converge.
constexpr std::uint32_t max_pauses = 30;

bool contains(const std::vector<endpoint_id>& list, endpoint_id id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

/// Whether a refusal comes from the owner: `not_owner` means that the receiver is the owner in the
/// sender's view only.
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
        add_action(check_limits{});
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
    if (stage_ != stage::checking_limits)
    {
        return;
    }
    if (!event.granted)
    {
        fail(error_kind::rate_limited,
             "a rate or concurrency limit of the client account is reached");
        return;
    }
    locate_chat(ctx);
}

void request_flow::locate_chat(const flow_context& ctx)
{
    if (!is_model_ || request_.chat.empty())
    {
        make_plan(ctx);
        return;
    }
    stage_ = stage::locating_chat;
    ticket_ = next_sequence();
    add_action(query_chat{ticket_, request_.chat});
    wake(ctx.now + owner_timeout);
}

void request_flow::on(const chat_answer& event, const flow_context& ctx)
{
    if (stage_ != stage::locating_chat || event.ticket != ticket_)
    {
        return;
    }
    ++chat_answers_;
    if (event.locations.empty() && chat_answers_ < chat_replicas)
    {
        // The other owner may have the chat: this one may have become an owner later.
        return;
    }
    locations_ = event.locations.empty() ? request_.hint : event.locations;
    make_plan(ctx);
}

void request_flow::make_plan(const flow_context& ctx)
{
    owner_answered_ = false;
    queue_was_full_ = false;
    was_queued_ = false;
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
    untried_.clear();
    (this->*table[static_cast<std::size_t>(step)])(ctx);
}

void request_flow::begin_warm_first(const flow_context& ctx)
{
    if (!plan_.warm.empty())
    {
        untried_.push_back(plan_.warm.front());
    }
    try_next_endpoint(ctx);
}

void request_flow::begin_warm_second(const flow_context& ctx)
{
    if (plan_.warm.size() > 1)
    {
        untried_.push_back(plan_.warm[1]);
    }
    try_next_endpoint(ctx);
}

void request_flow::begin_sampled(const flow_context& ctx)
{
    stage_ = stage::sampling_load;
    loads_.clear();
    loads_expected_ = plan_.sample.size();
    if (plan_.sample.empty())
    {
        finish_sampling(ctx);
        return;
    }
    ticket_ = next_sequence();
    for (const auto endpoint : plan_.sample)
    {
        add_action(query_load{ticket_, endpoint});
    }
    wake(ctx.now + owner_timeout);
}

void request_flow::on(const load_answer& event, const flow_context& ctx)
{
    if (stage_ != stage::sampling_load || event.ticket != ticket_)
    {
        return;
    }
    loads_.push_back(event);
    if (loads_.size() >= loads_expected_)
    {
        finish_sampling(ctx);
    }
}

void request_flow::finish_sampling(const flow_context& ctx)
{
    std::erase_if(loads_, [](const load_answer& it) { return it.allowed == 0; });
    // In descending order, because endpoints are taken from the back.
    std::stable_sort(loads_.begin(), loads_.end(),
                     [](const load_answer& lhs, const load_answer& rhs)
                     { return lhs.in_flight + lhs.queued > rhs.in_flight + rhs.queued; });
    for (const auto& it : loads_)
    {
        untried_.push_back(it.endpoint);
    }
    try_next_endpoint(ctx);
}

void request_flow::begin_overflow(const flow_context& ctx)
{
    untried_ = plan_.fallback;
    std::reverse(untried_.begin(), untried_.end());
    for (const auto& it : loads_)
    {
        untried_.push_back(it.endpoint);
    }
    try_next_endpoint(ctx);
}

void request_flow::begin_queued(const flow_context& ctx)
{
    // Prefer the endpoint of the chat: the wait may save computing its prompt prefix again.
    if (!plan_.warm.empty())
    {
        untried_.push_back(plan_.warm.front());
    }
    else if (!loads_.empty())
    {
        untried_.push_back(loads_.back().endpoint);
    }
    try_next_endpoint(ctx);
}

void request_flow::begin_local_share(const flow_context& ctx)
{
    if (!owner_answered_)
    {
        untried_ = plan_.fallback;
        untried_.insert(untried_.end(), plan_.sample.rbegin(), plan_.sample.rend());
        untried_.insert(untried_.end(), plan_.warm.rbegin(), plan_.warm.rend());
    }
    try_next_endpoint(ctx);
}

void request_flow::begin_exhausted(const flow_context& ctx)
{
    if (queue_was_full_)
    {
        fail(error_kind::queue_full, "the wait queue is full");
    }
    else if (was_queued_)
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
        fail(owner_answered_ ? error_kind::overloaded : error_kind::no_endpoint,
             "no endpoint of the service accepted the request");
        return;
    }
    stage_ = stage::pausing;
    wake(ctx.now + plan_pause);
}

void request_flow::try_next_endpoint(const flow_context& ctx)
{
    if (untried_.empty())
    {
        begin_step(static_cast<plan_step>(static_cast<std::uint8_t>(step_) + 1), ctx);
        return;
    }
    const auto endpoint = untried_.back();
    untried_.pop_back();
    switch (step_)
    {
    case plan_step::warm_first:
        send_slot_request(endpoint, slot_purpose::returning_chat, ctx.now + warm_wait_, ctx);
        break;
    case plan_step::warm_second:
        send_slot_request(endpoint, slot_purpose::returning_chat, ctx.now, ctx);
        break;
    case plan_step::sampled:
        send_slot_request(endpoint, slot_purpose::new_chat, ctx.now, ctx);
        break;
    case plan_step::queued:
        send_slot_request(endpoint, slot_purpose::overflow, ctx.now + max_queue_time, ctx);
        break;
    default:
        send_slot_request(endpoint, slot_purpose::overflow, ctx.now, ctx);
        break;
    }
}

void request_flow::send_slot_request(endpoint_id endpoint,
                                     slot_purpose purpose,
                                     time_point wait_until,
                                     const flow_context& ctx)
{
    next_attempt();
    stage_ = stage::requesting_slot;
    endpoint_ = endpoint;
    requested_at_ = ctx.now;
    slot_local_ = step_ == plan_step::local_share;
    const auto until = std::min(wait_until, request_.deadline);
    add_action(
        request_slot{slot_request{attempt_, endpoint, request_.service, request_.account,
                                  request_.priority, weight_, purpose, until, request_.deadline},
                     slot_local_});
    wake(until + owner_timeout);
}

void request_flow::on(const slot_refusal& event, const flow_context& ctx)
{
    if (stage_ != stage::requesting_slot || event.attempt != attempt_)
    {
        return;
    }
    owner_answered_ = owner_answered_ || is_owner_answer(event.reason);
    queue_was_full_ = queue_was_full_ || event.reason == slot_refusal_reason::queue_full;
    was_queued_ = was_queued_ ||
                  (event.reason == slot_refusal_reason::wait_expired && step_ == plan_step::queued);
    if (event.reason == slot_refusal_reason::deadline && step_ == plan_step::queued)
    {
        fail(error_kind::overloaded, "the expected wait exceeds the deadline");
        return;
    }
    try_next_endpoint(ctx);
}

void request_flow::on(const slot_grant& event, const flow_context& ctx)
{
    if (stage_ != stage::requesting_slot || event.attempt != attempt_)
    {
        add_action(release_slot{
            slot_release{event.attempt, event.endpoint, attempt_outcome::cancelled, 0}});
        return;
    }
    slot_held_ = true;
    dispatch_until_ = requested_at_ + max_dispatch_delay;
    pauses_ = 0;
    dispatch_or_claim(ctx);
}

} // namespace mangovane

// Implementation of the coordinator: passes events to request flows and performs their actions.
#include <utility>

#include "mangovane/routing/coordinator.hpp"
#include "mangovane/routing/coordinator_parts.hpp"

namespace mangovane
{

namespace
{

/// Timeout of a lease request to the owner of a limit.
constexpr milliseconds limit_timeout{250};

} // namespace

/// Performs one action of a flow.
struct coordinator::action_performer
{
    coordinator& self;
    std::uint64_t number;
    request_callbacks& callbacks;
    time_point now;

    void operator()(const check_limits&) const { self.acquire_limits(number, now); }

    void operator()(const query_chat& it) const
    {
        const auto queries = self.chats_.query(it.ticket, it.chat);
        self.send(queries, now);
        for (auto n = queries.size(); n < chat_replicas; ++n)
        {
            self.on_event(number, chat_answer{it.ticket, it.chat, {}}, now);
        }
    }

    void operator()(const query_load& it) const
    {
        const auto owner = self.owner_of(it.endpoint);
        if (owner)
        {
            self.send({*owner, load_query{it.ticket, it.endpoint}}, now);
            return;
        }
        self.on_event(number, load_answer{it.ticket, it.endpoint, 0, 0, 0}, now);
    }

    void operator()(const request_slot& it) const
    {
        if (it.local)
        {
            self.request_local_slot(number, it.request, now);
            return;
        }
        const auto owner = self.owner_of(it.request.endpoint);
        if (owner)
        {
            self.send({*owner, it.request}, now);
            return;
        }
        self.on_event(number,
                      slot_refusal{it.request.attempt, it.request.endpoint,
                                   slot_refusal_reason::unreachable, 0, 0},
                      now);
    }

    void operator()(const release_slot& it) const
    {
        if (it.local)
        {
            self.shares_.release(it.release.endpoint);
            return;
        }
        if (const auto owner = self.owner_of(it.release.endpoint))
        {
            self.send({*owner, it.release}, now);
        }
    }

    void operator()(const send_attempt& it) const
    {
        ++self.counters_.attempts;
        callbacks.send(it);
    }

    void operator()(const record_chat& it) const { self.send(self.chats_.record(it.update), now); }
    void operator()(const claim_key& it) const { callbacks.claim(it); }
    void operator()(const abort_attempt& it) const { callbacks.abort(it); }
    void operator()(const settle_claim& it) const { callbacks.settle(it); }
    void operator()(const answer_error& it) const { callbacks.answer(it); }
    void operator()(const answer_stored& it) const { callbacks.answer(it); }
    void operator()(const end_request& it) const { callbacks.end(it); }
    void operator()(const wake_at& it) const { callbacks.wake(it); }
};

flow_context coordinator::context(std::uint64_t number,
                                  std::uint64_t salt,
                                  const routing_table& routes,
                                  const membership_view& view,
                                  time_point now)
{
    const auto seed = hash_combine(hash_combine(options_.seed, number), salt);
    return flow_context{routes,
                        view,
                        *strategy_,
                        *retries_,
                        seed,
                        now,
                        state_.fence().closed(now),
                        state_.fence().resumed_at()};
}

std::optional<instance_id> coordinator::owner_of(endpoint_id endpoint) const
{
    const auto routes = state_.routes();
    const auto* info = routes->find(endpoint);
    return info == nullptr ? std::nullopt : state_.owner_of(*info);
}

std::uint64_t coordinator::start(routed_request request,
                                 std::shared_ptr<request_callbacks> callbacks,
                                 time_point now)
{
    ++counters_.accepted;
    const auto number = next_number_.fetch_add(1);
    const attempt_id first{options_.self.id, options_.self.epoch, 0};
    const auto routes = state_.routes();
    const auto view = state_.view();
    if (const auto* service = routes->settings().find_service(request.service))
    {
        retries_->on_request(service->id, service->retry_ratio);
    }
    request_flow flow{std::move(request), first, number};
    flow_step step;
    step.actions = flow.start(context(number, 0, *routes, *view, now));
    step.callbacks = callbacks;
    step.ended = flow.finished();
    if (!step.ended)
    {
        flows_.insert(number, std::move(flow), std::move(callbacks));
    }
    perform(number, step, now);
    return number;
}

bool coordinator::on_event(std::uint64_t number, const flow_event& event, time_point now)
{
    const auto routes = state_.routes();
    const auto view = state_.view();
    const auto salt = hash_combine(event.index() + 1, next_salt_.fetch_add(1));
    const auto step = flows_.step(number, event, context(number, salt, *routes, *view, now));
    if (!step.callbacks)
    {
        return false;
    }
    perform(number, step, now);
    return true;
}

void coordinator::perform(std::uint64_t number, const flow_step& step, time_point now)
{
    if (step.ended)
    {
        limits_.release(step.limits);
    }
    for (const auto& action : step.actions)
    {
        std::visit(action_performer{*this, number, *step.callbacks, now}, action);
    }
}

void coordinator::request_local_slot(std::uint64_t number,
                                     const slot_request& request,
                                     time_point now)
{
    const auto load = slots_.load_of(request.service, now);
    if (shares_.try_acquire(request.endpoint, load, now))
    {
        ++counters_.local_slots;
        if (!on_event(number, slot_grant{request.attempt, request.endpoint, 0, 0}, now))
        {
            shares_.release(request.endpoint);
        }
        return;
    }
    on_event(
        number,
        slot_refusal{request.attempt, request.endpoint, slot_refusal_reason::unreachable, 0, 0},
        now);
}

std::vector<limit_rule> coordinator::limits_of(std::uint64_t number)
{
    const auto account = flows_.account_of(number);
    const auto routes = state_.routes();
    const auto* policy = account ? routes->settings().find_account(*account) : nullptr;
    return policy == nullptr ? std::vector<limit_rule>{} : policy->limits;
}

void coordinator::grant_limits(std::uint64_t number, std::vector<limit_rule> rules, time_point now)
{
    if (!flows_.set_limits(number, rules))
    {
        limits_.release(rules);
        return;
    }
    on_event(number, limits_decided{true}, now);
}

void coordinator::acquire_limits(std::uint64_t number, time_point now)
{
    auto rules = limits_of(number);
    if (limits_.try_acquire(rules, now))
    {
        grant_limits(number, std::move(rules), now);
        return;
    }
    {
        const std::lock_guard lock{mutex_};
        pending_limit_checks_.push_back({number, now + limit_timeout});
    }
    send(limits_.request_leases(rules, now), now);
}

void coordinator::recheck_limits(time_point now)
{
    std::vector<pending_limit_check> pending;
    {
        const std::lock_guard lock{mutex_};
        pending.swap(pending_limit_checks_);
    }
    std::vector<pending_limit_check> remaining;
    for (const auto& it : pending)
    {
        auto rules = limits_of(it.number);
        if (limits_.try_acquire(rules, now))
        {
            grant_limits(it.number, std::move(rules), now);
        }
        else if (now < it.expires_at)
        {
            remaining.push_back(it);
        }
        else if (limits_.try_acquire_local_share(rules, now))
        {
            grant_limits(it.number, std::move(rules), now);
        }
        else
        {
            on_event(it.number, limits_decided{false}, now);
        }
    }
    const std::lock_guard lock{mutex_};
    pending_limit_checks_.insert(pending_limit_checks_.end(), remaining.begin(), remaining.end());
}

coordinator_counters coordinator::counters() const
{
    coordinator_counters result;
    result.accepted = counters_.accepted;
    result.attempts = counters_.attempts;
    result.retries = retries_->retries;
    result.retries_refused = retries_->refused;
    result.stale_grants = counters_.stale_grants;
    result.local_slots = counters_.local_slots;
    return result;
}

} // namespace mangovane

// Steps of a request in the reuse measurement, in the order of routing/request_flow.
#include <algorithm>

#include "bench/chat_load.hpp"
#include "bench/reuse_run.hpp"

namespace mangovane::bench
{

namespace
{

/// The limits of routing/request_flow.
constexpr milliseconds owner_queue_time{1000};
constexpr milliseconds retry_delay{100};
constexpr std::uint32_t max_retries = 30;
/// Deadline of a caller.
constexpr seconds request_timeout{30};

} // namespace

const std::array<reuse_run::step_rule, 6> reuse_run::step_rules{
    step_rule{&reuse_run::begin_warm_first, slot_purpose::returning_chat,
              service_policy{}.warm_wait},
    step_rule{&reuse_run::begin_warm_second, slot_purpose::returning_chat, duration{0}},
    step_rule{&reuse_run::begin_sampled, slot_purpose::new_chat, duration{0}},
    step_rule{&reuse_run::begin_overflow, slot_purpose::overflow, duration{0}},
    step_rule{&reuse_run::begin_queued, slot_purpose::overflow, owner_queue_time},
    step_rule{&reuse_run::begin_exhausted, slot_purpose::overflow, duration{0}},
};

void reuse_run::make_plan(std::uint32_t number)
{
    auto& it = chats_[number];
    it.was_queued = false;
    if (now_ >= it.arrived + request_timeout)
    {
        refuse(number);
        return;
    }
    it.plan = strategy_->plan({it.id.value(), decision_seed(), it.locations, engines_.candidates(),
                               engines_.policy().sample_size});
    begin(number, step::warm_first);
}

void reuse_run::begin(std::uint32_t number, step at)
{
    auto& it = chats_[number];
    it.current_step = at;
    it.pending_endpoints.clear();
    (this->*step_rules[static_cast<std::size_t>(at)].begin)(number);
}

void reuse_run::begin_warm_first(std::uint32_t number)
{
    auto& it = chats_[number];
    if (!it.plan.warm.empty())
    {
        it.pending_endpoints.push_back(it.plan.warm.front());
    }
    try_next_endpoint(number);
}

void reuse_run::begin_warm_second(std::uint32_t number)
{
    auto& it = chats_[number];
    if (it.plan.warm.size() > 1)
    {
        it.pending_endpoints.push_back(it.plan.warm[1]);
    }
    try_next_endpoint(number);
}

void reuse_run::begin_sampled(std::uint32_t number)
{
    auto& it = chats_[number];
    it.sample_by_load.clear();
    for (const auto id : it.plan.sample)
    {
        it.sample_by_load.push_back(engines_.index_of(id));
    }
    const auto load = [&](std::size_t index)
    {
        const auto& engine = engines_.at(index);
        return engine.in_flight + engine.queue.size();
    };
    std::stable_sort(it.sample_by_load.begin(), it.sample_by_load.end(),
                     [&](std::size_t lhs, std::size_t rhs) { return load(lhs) > load(rhs); });
    for (const auto index : it.sample_by_load)
    {
        it.pending_endpoints.push_back(engines_.at(index).id);
    }
    try_next_endpoint(number);
}

void reuse_run::begin_overflow(std::uint32_t number)
{
    auto& it = chats_[number];
    it.pending_endpoints.assign(it.plan.fallback.rbegin(), it.plan.fallback.rend());
    for (const auto index : it.sample_by_load)
    {
        it.pending_endpoints.push_back(engines_.at(index).id);
    }
    try_next_endpoint(number);
}

void reuse_run::begin_queued(std::uint32_t number)
{
    auto& it = chats_[number];
    if (!it.plan.warm.empty())
    {
        it.pending_endpoints.push_back(it.plan.warm.front());
    }
    else if (!it.sample_by_load.empty())
    {
        it.pending_endpoints.push_back(engines_.at(it.sample_by_load.back()).id);
    }
    try_next_endpoint(number);
}

void reuse_run::begin_exhausted(std::uint32_t number)
{
    auto& it = chats_[number];
    if (it.was_queued)
    {
        make_plan(number);
    }
    else if (++it.retries > max_retries)
    {
        refuse(number);
    }
    else
    {
        schedule(retry_delay, &reuse_run::on_retry, number);
    }
}

void reuse_run::try_next_endpoint(std::uint32_t number)
{
    auto& it = chats_[number];
    while (!it.pending_endpoints.empty())
    {
        const auto endpoint = it.pending_endpoints.back();
        it.pending_endpoints.pop_back();
        if (request_slot(number, endpoint))
        {
            return;
        }
    }
    begin(number, static_cast<step>(static_cast<std::uint8_t>(it.current_step) + 1));
}

bool reuse_run::request_slot(std::uint32_t number, endpoint_id endpoint)
{
    const auto index = engines_.index_of(endpoint);
    const auto& rule = step_rules[static_cast<std::size_t>(chats_[number].current_step)];
    serve_queue(index);
    if (engines_.try_acquire_slot(index, rule.purpose))
    {
        dispatch(number, index);
        return true;
    }
    if (rule.max_queue_time == duration{0} || !engines_.at(index).accepting)
    {
        return false;
    }
    enqueue(number, index, rule);
    return true;
}

void reuse_run::enqueue(std::uint32_t number, std::size_t index, const step_rule& rule)
{
    const auto attempt = ++attempts_;
    chats_[number].attempt = attempt;
    engines_.at(index).queue.push_back({number, attempt, rule.purpose});
    schedule(rule.max_queue_time, &reuse_run::on_queue_timeout, number, attempt);
}

void reuse_run::serve_queue(std::size_t index)
{
    auto& queue = engines_.at(index).queue;
    while (!queue.empty())
    {
        const auto first = queue.front();
        const auto is_stale = chats_[first.request].attempt != first.attempt;
        if (!is_stale && !engines_.try_acquire_slot(index, first.purpose))
        {
            return;
        }
        queue.pop_front();
        if (!is_stale)
        {
            chats_[first.request].attempt = 0;
            dispatch(first.request, index);
        }
    }
}

void reuse_run::dispatch(std::uint32_t number, std::size_t index)
{
    auto& it = chats_[number];
    it.engine = index;
    if (now_ >= measure_from_)
    {
        measure(it);
    }
    schedule(response_time, &reuse_run::on_completed, number);
}

void reuse_run::measure(const chat& it)
{
    const auto number = static_cast<std::uint32_t>(&it - chats_.data());
    std::uint32_t cached = 0;
    for (const auto index : it.serving_engines)
    {
        const auto& engine = engines_.at(index);
        cached = std::max(cached, engine.accepting ? engine.cache.units(number) : 0);
    }
    const auto& chosen = engines_.at(it.engine);
    meter_.on_reuse(chosen.cache.units(number), cached);
    meter_.on_load(chosen.in_flight, engines_.load());
    meter_.on_wait(now_ - it.arrived);
}

void reuse_run::refuse(std::uint32_t)
{
    if (now_ >= measure_from_)
    {
        meter_.on_refused();
    }
}

} // namespace mangovane::bench

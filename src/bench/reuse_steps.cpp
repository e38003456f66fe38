// Steps of a request in the reuse measurement, in the order of routing/request_flow.
#include <algorithm>

#include "bench/chat_load.hpp"
#include "bench/reuse_run.hpp"

namespace mangovane::bench
{

namespace
{

/// As in routing/request_flow.
constexpr milliseconds queue_stay{1000};
constexpr milliseconds plan_pause{100};
constexpr std::uint32_t max_pauses = 30;
/// Deadline of a caller.
constexpr seconds longest_wait{30};

} // namespace

const std::array<reuse_run::step_rule, 6> reuse_run::rules{
    step_rule{&reuse_run::begin_warm_first, slot_purpose::returning_chat,
              service_policy{}.warm_wait},
    step_rule{&reuse_run::begin_warm_second, slot_purpose::returning_chat, duration{0}},
    step_rule{&reuse_run::begin_sampled, slot_purpose::new_chat, duration{0}},
    step_rule{&reuse_run::begin_overflow, slot_purpose::overflow, duration{0}},
    step_rule{&reuse_run::begin_queued, slot_purpose::overflow, queue_stay},
    step_rule{&reuse_run::begin_exhausted, slot_purpose::overflow, duration{0}},
};

void reuse_run::make_plan(std::uint32_t number)
{
    auto& it = chats_[number];
    it.waited = false;
    if (now_ >= it.arrived + longest_wait)
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
    it.at = at;
    it.tries.clear();
    (this->*rules[static_cast<std::size_t>(at)].begin)(number);
}

void reuse_run::begin_warm_first(std::uint32_t number)
{
    auto& it = chats_[number];
    if (!it.plan.warm.empty())
    {
        it.tries.push_back(it.plan.warm.front());
    }
    next_try(number);
}

void reuse_run::begin_warm_second(std::uint32_t number)
{
    auto& it = chats_[number];
    if (it.plan.warm.size() > 1)
    {
        it.tries.push_back(it.plan.warm[1]);
    }
    next_try(number);
}

void reuse_run::begin_sampled(std::uint32_t number)
{
    auto& it = chats_[number];
    it.loaded.clear();
    for (const auto id : it.plan.sample)
    {
        it.loaded.push_back(engines_.index_of(id));
    }
    const auto load = [&](std::size_t index)
    {
        const auto& engine = engines_.at(index);
        return engine.in_flight + engine.queue.size();
    };
    std::stable_sort(it.loaded.begin(), it.loaded.end(),
                     [&](std::size_t lhs, std::size_t rhs) { return load(lhs) > load(rhs); });
    for (const auto index : it.loaded)
    {
        it.tries.push_back(engines_.at(index).id);
    }
    next_try(number);
}

void reuse_run::begin_overflow(std::uint32_t number)
{
    auto& it = chats_[number];
    it.tries.assign(it.plan.fallback.rbegin(), it.plan.fallback.rend());
    for (const auto index : it.loaded)
    {
        it.tries.push_back(engines_.at(index).id);
    }
    next_try(number);
}

void reuse_run::begin_queued(std::uint32_t number)
{
    auto& it = chats_[number];
    if (!it.plan.warm.empty())
    {
        it.tries.push_back(it.plan.warm.front());
    }
    else if (!it.loaded.empty())
    {
        it.tries.push_back(engines_.at(it.loaded.back()).id);
    }
    next_try(number);
}

void reuse_run::begin_exhausted(std::uint32_t number)
{
    auto& it = chats_[number];
    if (it.waited)
    {
        make_plan(number);
    }
    else if (++it.pauses > max_pauses)
    {
        refuse(number);
    }
    else
    {
        schedule(plan_pause, &reuse_run::on_plan_again, number);
    }
}

void reuse_run::next_try(std::uint32_t number)
{
    auto& it = chats_[number];
    while (!it.tries.empty())
    {
        const auto endpoint = it.tries.back();
        it.tries.pop_back();
        if (ask(number, endpoint))
        {
            return;
        }
    }
    begin(number, static_cast<step>(static_cast<std::uint8_t>(it.at) + 1));
}

bool reuse_run::ask(std::uint32_t number, endpoint_id endpoint)
{
    const auto index = engines_.index_of(endpoint);
    const auto& rule = rules[static_cast<std::size_t>(chats_[number].at)];
    serve_queue(index);
    if (engines_.try_take(index, rule.purpose))
    {
        dispatch(number, index);
        return true;
    }
    if (rule.longest_wait == duration{0} || !engines_.at(index).open)
    {
        return false;
    }
    wait(number, index, rule);
    return true;
}

void reuse_run::wait(std::uint32_t number, std::size_t index, const step_rule& rule)
{
    const auto attempt = ++attempts_;
    chats_[number].attempt = attempt;
    engines_.at(index).queue.push_back({number, attempt, rule.purpose});
    schedule(rule.longest_wait, &reuse_run::on_wait_over, number, attempt);
}

void reuse_run::serve_queue(std::size_t index)
{
    auto& queue = engines_.at(index).queue;
    while (!queue.empty())
    {
        const auto first = queue.front();
        const auto is_stale = chats_[first.request].attempt != first.attempt;
        if (!is_stale && !engines_.try_take(index, first.purpose))
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
    schedule(answer_time, &reuse_run::on_answered, number);
}

void reuse_run::measure(const chat& it)
{
    const auto number = static_cast<std::uint32_t>(&it - chats_.data());
    std::uint32_t cached = 0;
    for (const auto index : it.served)
    {
        const auto& engine = engines_.at(index);
        cached = std::max(cached, engine.open ? engine.cache.units(number) : 0);
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

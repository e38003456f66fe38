// Events of a run of the reuse measurement. The steps of a request are in reuse_steps.cpp.
#include "bench/reuse_run.hpp"

#include <cmath>

#include "bench/chat_load.hpp"
#include "mangovane/core/hash.hpp"

namespace mangovane::bench
{

namespace
{

/// Sets the times between chats apart from the ids of the chats, which use the same numbers.
constexpr std::uint64_t arrival_stream = 1;

/// A function of its arguments only, so that the same chats return at the same time after an
/// answer under every policy.
duration exponential(duration mean, std::uint64_t key, std::uint64_t seed)
{
    // 53 random bits, shifted by half a step so that the logarithm is finite.
    const auto bits = hash_combine(hash_combine(key, seed), 0) >> 11U;
    const auto uniform = (static_cast<double>(bits) + 0.5) * 0x1p-53;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{mean} *
                                                -std::log(uniform));
}

} // namespace

reuse_run::reuse_run(const reuse_scenario& scenario, const reuse_policy& policy)
    : scenario_{scenario}, strategy_{make_strategy(policy.strategy)},
      engines_{service_for(scenario, policy), scenario.size.engines,
               cache_units(scenario.size.mean_in_flight)},
      directories_{entry_instances, directory_capacity}, measure_from_{time_point{} +
                                                                       scenario.size.warm_up}
{}

reuse_result reuse_run::run()
{
    const auto end = measure_from_ + scenario_.size.measured;
    schedule(duration{0}, &reuse_run::on_new_chat, 0);
    schedule(seconds{0}, &reuse_run::on_publish, 0);
    if (const auto period = scenario_.what->period(); period != seconds{0})
    {
        schedule(period, &reuse_run::on_strike, 0);
    }
    while (events_.top().at < end)
    {
        const auto next = events_.top();
        events_.pop();
        now_ = next.at;
        (this->*next.handle)(next.number, next.attempt);
    }
    return meter_.result();
}

void reuse_run::schedule(duration in, handler handle, std::uint32_t number, std::uint64_t attempt)
{
    events_.push(event{now_ + in, ++sequence_, handle, number, attempt});
}

duration reuse_run::time_to_next_chat(std::uint32_t number) const
{
    return exponential(time_between_chats(scenario_.size), hash_combine(number, arrival_stream),
                       scenario_.seed);
}

duration reuse_run::pause_after_turn(const chat& it) const
{
    return exponential(pause_between_turns, it.id.value(), it.turn);
}

void reuse_run::on_new_chat(std::uint32_t, std::uint64_t)
{
    const auto number = static_cast<std::uint32_t>(chats_.size());
    chats_.emplace_back().id = chat_id{hash_combine(number, scenario_.seed)};
    schedule(time_to_next_chat(number), &reuse_run::on_new_chat, 0);
    on_turn(number, 0);
}

void reuse_run::on_turn(std::uint32_t number, std::uint64_t)
{
    auto& it = chats_[number];
    it.arrived = now_;
    it.pauses = 0;
    it.locations = directories_.find(it.id);
    make_plan(number);
}

void reuse_run::on_plan_again(std::uint32_t number, std::uint64_t)
{
    make_plan(number);
}

void reuse_run::on_wait_over(std::uint32_t number, std::uint64_t attempt)
{
    auto& it = chats_[number];
    if (it.attempt != attempt)
    {
        return;
    }
    it.attempt = 0;
    it.waited = it.waited || it.at == step::queued;
    next_try(number);
}

void reuse_run::on_answered(std::uint32_t number, std::uint64_t)
{
    auto& it = chats_[number];
    ++it.turn;
    engines_.release(it.engine);
    engines_.at(it.engine).cache.store(number, it.turn);
    it.served.push_back(it.engine);
    directories_.update({it.id, engines_.at(it.engine).id}, now_);
    serve_queue(it.engine);
    if (chats_[number].turn != turns_per_chat)
    {
        schedule(pause_after_turn(chats_[number]), &reuse_run::on_turn, number);
    }
}

void reuse_run::on_strike(std::uint32_t number, std::uint64_t)
{
    scenario_.what->strike(number, engines_, directories_);
    schedule(scenario_.what->period(), &reuse_run::on_strike, number + 1);
}

void reuse_run::on_publish(std::uint32_t, std::uint64_t)
{
    engines_.publish_loads();
    schedule(report_period, &reuse_run::on_publish, 0);
}

} // namespace mangovane::bench

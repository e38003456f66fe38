// Event handlers of a run of the reuse measurement. The request steps are in reuse_steps.cpp.
#include "bench/reuse_run.hpp"

#include <cmath>

#include "bench/chat_load.hpp"
#include "mangovane/core/hash.hpp"

namespace mangovane::bench
{

namespace
{

/// Makes interarrival times independent of the chat ids, which are hashed from the same numbers.
constexpr std::uint64_t arrival_stream = 1;

/// Depends on its arguments only, so that under every policy a chat returns after the same think
/// time.
duration exponential(duration mean, std::uint64_t key, std::uint64_t seed)
{
    // 53 random bits plus half a step: never 0, so that the logarithm is finite.
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
    if (const auto period = scenario_.injector->period(); period != seconds{0})
    {
        schedule(period, &reuse_run::on_fault, 0);
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

duration reuse_run::sample_interarrival_time(std::uint32_t number) const
{
    return exponential(mean_interarrival_time(scenario_.size), hash_combine(number, arrival_stream),
                       scenario_.seed);
}

duration reuse_run::sample_think_time(const chat& it) const
{
    return exponential(mean_think_time, it.id.value(), it.turn);
}

void reuse_run::on_new_chat(std::uint32_t, std::uint64_t)
{
    const auto number = static_cast<std::uint32_t>(chats_.size());
    chats_.emplace_back().id = chat_id{hash_combine(number, scenario_.seed)};
    schedule(sample_interarrival_time(number), &reuse_run::on_new_chat, 0);
    on_turn(number, 0);
}

void reuse_run::on_turn(std::uint32_t number, std::uint64_t)
{
    auto& it = chats_[number];
    it.arrived = now_;
    it.retries = 0;
    it.locations = directories_.find(it.id);
    make_plan(number);
}

void reuse_run::on_retry(std::uint32_t number, std::uint64_t)
{
    make_plan(number);
}

void reuse_run::on_queue_timeout(std::uint32_t number, std::uint64_t attempt)
{
    auto& it = chats_[number];
    if (it.attempt != attempt)
    {
        return;
    }
    it.attempt = 0;
    it.was_queued = it.was_queued || it.current_step == step::queued;
    try_next_endpoint(number);
}

void reuse_run::on_completed(std::uint32_t number, std::uint64_t)
{
    auto& it = chats_[number];
    ++it.turn;
    engines_.release_slot(it.engine);
    engines_.at(it.engine).cache.store(number, it.turn);
    it.serving_engines.push_back(it.engine);
    directories_.update({it.id, engines_.at(it.engine).id}, now_);
    serve_queue(it.engine);
    if (chats_[number].turn != turns_per_chat)
    {
        schedule(sample_think_time(chats_[number]), &reuse_run::on_turn, number);
    }
}

void reuse_run::on_fault(std::uint32_t number, std::uint64_t)
{
    scenario_.injector->inject(number, engines_, directories_);
    schedule(scenario_.injector->period(), &reuse_run::on_fault, number + 1);
}

void reuse_run::on_publish(std::uint32_t, std::uint64_t)
{
    engines_.publish_loads();
    schedule(load_report_period, &reuse_run::on_publish, 0);
}

} // namespace mangovane::bench

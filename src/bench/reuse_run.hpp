// One run of the reuse measurement: returning chats, the placement steps of the request flow, and
// engines, in simulated time. Messages are not modelled: replies of owners arrive at once.
#ifndef MANGOVANE_BENCH_REUSE_RUN_HPP
#define MANGOVANE_BENCH_REUSE_RUN_HPP

#include <array>
#include <cstdint>
#include <memory>
#include <queue>
#include <tuple>
#include <vector>

#include "bench/directory_group.hpp"
#include "bench/engine_fleet.hpp"
#include "bench/reuse_meter.hpp"
#include "bench/reuse_scenario.hpp"
#include "mangovane/core/hash.hpp"
#include "mangovane/placement/placement_strategy.hpp"

namespace mangovane::bench
{

class reuse_run
{
public:
    reuse_run(const reuse_scenario& scenario, const reuse_policy& policy);

    [[nodiscard]] reuse_result run();

private:
    /// Steps of the request flow, in order. The step that takes a slot from the local share while
    /// an owner is unreachable is omitted: every owner replies here.
    enum class step : std::uint8_t
    {
        warm_first,  ///< First warm engine of the plan; waits in its queue for a limited time.
        warm_second, ///< Second warm engine, without a wait.
        sampled,     ///< Sampled engines, least loaded first, without a wait.
        overflow,    ///< Sampled engines, then the fallback ones, with slots for overflow.
        queued,      ///< Waits in the queue of the first warm or the least loaded sampled engine.
        exhausted,   ///< Makes a new plan, retries after a delay, or refuses the request.
    };

    /// How a step requests a slot.
    struct step_rule
    {
        void (reuse_run::*begin)(std::uint32_t number);
        slot_purpose purpose;
        duration max_queue_time; ///< In the queue of the owner; zero: does not queue.
    };

    /// A chat and its current request, under the same number.
    struct chat
    {
        chat_id id;
        std::uint32_t turn{0};
        time_point arrived;
        chat_locations locations;
        placement_plan plan;
        step current_step{step::warm_first};
        std::vector<endpoint_id> pending_endpoints; ///< Of the current step; taken from the back.
        std::vector<std::size_t> sample_by_load;    ///< Sampled engines, least loaded last.
        std::uint64_t attempt{0}; ///< A queue entry or timer of another one is stale.
        std::uint32_t retries{0};
        bool was_queued{false};
        std::size_t engine{0};                    ///< Serves the current request.
        std::vector<std::size_t> serving_engines; ///< Served a turn; may have a cached prefix.
    };

    struct event
    {
        time_point at;
        std::uint64_t sequence; ///< Orders events of the same time.
        void (reuse_run::*handle)(std::uint32_t number, std::uint64_t attempt);
        std::uint32_t number;
        std::uint64_t attempt;

        bool operator>(const event& other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    using handler = decltype(event::handle);

    void on_new_chat(std::uint32_t number, std::uint64_t attempt);
    void on_turn(std::uint32_t number, std::uint64_t attempt);
    void on_retry(std::uint32_t number, std::uint64_t attempt);
    void on_queue_timeout(std::uint32_t number, std::uint64_t attempt);
    void on_completed(std::uint32_t number, std::uint64_t attempt);
    void on_fault(std::uint32_t number, std::uint64_t attempt);
    void on_publish(std::uint32_t number, std::uint64_t attempt);

    void begin_warm_first(std::uint32_t number);
    void begin_warm_second(std::uint32_t number);
    void begin_sampled(std::uint32_t number);
    void begin_overflow(std::uint32_t number);
    void begin_queued(std::uint32_t number);
    void begin_exhausted(std::uint32_t number);
    static const std::array<step_rule, 6> step_rules;

    void make_plan(std::uint32_t number);
    void begin(std::uint32_t number, step at);
    void try_next_endpoint(std::uint32_t number);
    [[nodiscard]] bool request_slot(std::uint32_t number, endpoint_id endpoint);
    void enqueue(std::uint32_t number, std::size_t index, const step_rule& rule);
    void serve_queue(std::size_t index);
    void dispatch(std::uint32_t number, std::size_t index);
    void measure(const chat& it);
    void refuse(std::uint32_t number);
    void schedule(duration in, handler handle, std::uint32_t number, std::uint64_t attempt = 0);
    [[nodiscard]] duration sample_interarrival_time(std::uint32_t number) const;
    [[nodiscard]] duration sample_think_time(const chat& it) const;
    [[nodiscard]] std::uint64_t decision_seed()
    {
        return hash_combine(scenario_.seed, ++decisions_);
    }

    reuse_scenario scenario_;
    std::unique_ptr<placement_strategy> strategy_;
    engine_fleet engines_;
    directory_group directories_;
    reuse_meter meter_;
    time_point now_{};
    time_point measure_from_;
    std::uint64_t decisions_{0};
    std::uint64_t sequence_{0};
    std::uint64_t attempts_{0};
    std::vector<chat> chats_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
};

} // namespace mangovane::bench

#endif

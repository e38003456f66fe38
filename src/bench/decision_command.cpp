// Sub-command `decision`: CPU time of placement decisions and of endpoint choices, and CPU time and
// memory of the chat directory, at the fleet size planned for in two years.
#include <algorithm>
#include <iostream>

#include "bench/commands.hpp"
#include "bench/forward_choice.hpp"
#include "bench/measurement.hpp"
#include "bench/options.hpp"
#include "bench/process_cost.hpp"
#include "mangovane/core/hash.hpp"
#include "mangovane/placement/chat_directory.hpp"
#include "mangovane/placement/placement_strategy.hpp"

namespace mangovane::bench
{

namespace
{

constexpr std::size_t engines = 940;
constexpr std::size_t chats = 14'000'000;
constexpr std::size_t instances = 360;
constexpr std::size_t entries = chats * chat_replicas / instances;
constexpr std::uint64_t decisions = 20'000;

std::vector<candidate> make_candidates()
{
    std::vector<candidate> result;
    for (std::size_t n = 0; n != engines; ++n)
    {
        result.push_back({endpoint_id{hash_combine(n, 1)}, static_cast<std::uint32_t>(n % 8)});
    }
    std::sort(result.begin(), result.end());
    return result;
}

/// Every second decision is for a returning chat.
chat_locations make_locations(const std::vector<candidate>& candidates, std::uint64_t n)
{
    if (n % 2 == 0)
    {
        return {};
    }
    return {{candidates[n % engines].endpoint, candidates[(n * 7 + 1) % engines].endpoint}};
}

void measure_strategies(std::vector<measurement>& measurements)
{
    const auto candidates = make_candidates();
    for (const auto name : strategy_names())
    {
        const auto strategy = make_strategy(name);
        std::size_t planned = 0;
        const auto time =
            mean_cpu_us(decisions,
                        [&](std::uint64_t n)
                        {
                            const placement_query query{hash_combine(n, 2), hash_combine(n, 3),
                                                        make_locations(candidates, n), candidates};
                            const auto plan = strategy->plan(query);
                            planned += plan.sample.size() + plan.fallback.size();
                        });
        measurements.push_back({"decision." + std::string{name} + ".cpu", time, "us"});
        measurements.push_back({"decision." + std::string{name} + ".planned",
                                static_cast<double>(planned) / decisions, "endpoints"});
    }
}

chat_id make_chat_id(std::uint64_t n)
{
    return chat_id{hash_combine(n, 4)};
}

void measure_directory(std::vector<measurement>& measurements)
{
    const auto before = heap_bytes();
    chat_directory directory{entries};
    const auto update = [&](std::uint64_t n)
    {
        const endpoint_id endpoint{hash_combine(n % engines, 1)};
        directory.update({make_chat_id(n), endpoint}, time_point{milliseconds{n}});
    };
    const auto insert = mean_cpu_us(entries, update);
    const auto bytes = heap_bytes() - before;
    const auto entry_count = static_cast<double>(directory.size());
    const auto evicting = mean_cpu_us(entries, [&](std::uint64_t n) { update(entries + n); });
    std::uint64_t found = 0;
    const auto find =
        mean_cpu_us(entries, [&](std::uint64_t n)
                    { found += directory.find(make_chat_id(entries + n)).empty() ? 0 : 1; });
    measurements.push_back({"directory.insert.cpu", insert, "us"});
    measurements.push_back({"directory.insert_when_full.cpu", evicting, "us"});
    measurements.push_back({"directory.find.cpu", find, "us"});
    measurements.push_back({"directory.newest_kept", static_cast<double>(found) / entries, "1"});
    measurements.push_back({"directory.entries", entry_count, "chats"});
    measurements.push_back({"directory.entry", bytes / entry_count, "B"});
    measurements.push_back({"directory.memory", bytes, "B"});
}

} // namespace

int run_decision(const std::vector<std::string>& args)
{
    const auto options = parse_options(args);
    std::vector<measurement> measurements;
    measure_strategies(measurements);
    measure_forward_choice(measurements);
    measure_directory(measurements);
    print_measurements(std::cout, measurements, options.json);
    return 0;
}

} // namespace mangovane::bench

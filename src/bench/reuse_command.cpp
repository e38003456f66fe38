// Sub-command `reuse`: runs every policy in every scenario, in simulated time with a fixed seed.
#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <thread>

#include "bench/commands.hpp"
#include "bench/measurement.hpp"
#include "bench/options.hpp"
#include "bench/reuse_run.hpp"

namespace mangovane::bench
{

namespace
{

/// Runs share no state, so that the results do not depend on the number of threads.
constexpr std::size_t threads = 3;

struct planned_run
{
    reuse_scenario scenario;
    reuse_policy policy;
    reuse_result result;
};

struct reported_value
{
    std::string_view name;
    double (*value)(const reuse_result& result);
    std::string_view unit;
};

constexpr std::array reported{
    reported_value{"reuse", [](const reuse_result& it) { return it.reuse_ratio; }, "1"},
    reported_value{"largest_load", [](const reuse_result& it) { return it.largest_load; }, "1"},
    reported_value{"wait_p99", [](const reuse_result& it) { return it.wait_p99_ms; }, "ms"},
    reported_value{"refused", [](const reuse_result& it) { return double(it.refused); },
                   "requests"},
    reported_value{"requests", [](const reuse_result& it) { return double(it.requests); },
                   "requests"},
};

std::vector<planned_run> plan_runs(const bench_options& options)
{
    std::vector<planned_run> result;
    for (const auto& scenario : all_scenarios())
    {
        for (const auto& policy : all_policies())
        {
            const auto name = scenario.name() + "." + std::string{policy.name};
            if (name.find(options.only) != std::string::npos)
            {
                result.push_back({scenario, policy, {}});
            }
        }
    }
    return result;
}

void run_all(std::vector<planned_run>& runs)
{
    std::atomic<std::size_t> next{0};
    const auto work = [&]
    {
        for (auto n = next.fetch_add(1); n < runs.size(); n = next.fetch_add(1))
        {
            runs[n].result = reuse_run{runs[n].scenario, runs[n].policy}.run();
        }
    };
    std::vector<std::jthread> workers;
    for (std::size_t n = 0; n != threads; ++n)
    {
        workers.emplace_back(work);
    }
}

std::vector<measurement> to_measurements(const std::vector<planned_run>& runs)
{
    std::vector<measurement> result;
    for (const auto& run : runs)
    {
        for (const auto& it : reported)
        {
            const auto name = run.scenario.name() + "." + std::string{run.policy.name} + "." +
                              std::string{it.name};
            result.push_back({name, it.value(run.result), std::string{it.unit}});
        }
    }
    return result;
}

} // namespace

int run_reuse(const std::vector<std::string>& args)
{
    const auto options = parse_options(args);
    auto runs = plan_runs(options);
    run_all(runs);
    print_measurements(std::cout, to_measurements(runs), options.json);
    return 0;
}

} // namespace mangovane::bench

// Sub-command `path`: CPU time of whole decision paths and of single messages at the fleet size
// planned for in two years, and memory of each kind of state as heap growth over many objects.
#include <iostream>

#include <absl/strings/str_cat.h>

#include "bench/commands.hpp"
#include "bench/coordinator_group.hpp"
#include "bench/measurement.hpp"
#include "bench/options.hpp"
#include "bench/process_cost.hpp"
#include "mangovane/settings/parse.hpp"

namespace mangovane::bench
{

namespace
{

using measurements = std::vector<measurement>;

constexpr std::uint64_t requests = 4000;
constexpr std::uint64_t messages = 20'000;
constexpr std::size_t chats = 1000;
constexpr std::size_t held_requests = 120;

/// Puts all endpoints in one domain, so that one instance owns them.
constexpr fleet_shape one_domain(std::size_t engines)
{
    auto result = planned_fleet;
    result.engines = engines;
    result.domains = 1;
    return result;
}

/// Runs requests in groups of 100; the tick after each group is not measured. The requests of a
/// group arrive at the same time and would exceed the rate limit of one account, so they are
/// spread over many accounts.
void measure_path(const std::string& name,
                  const settings_ptr& settings,
                  std::size_t instances,
                  measurements& out)
{
    constexpr std::uint64_t group = 100;
    coordinator_group pair{settings, make_endpoints(one_domain(planned_fleet.engines)), instances};
    double time = 0;
    std::uint64_t answered = 0;
    std::uint64_t sent = 0;
    for (std::uint64_t n = 0; n < requests; n += group)
    {
        const auto before = pair.messages();
        time += mean_cpu_us(group, [&](std::uint64_t it)
                            { answered += pair.run_request((n + it) % chats) ? 1 : 0; }) *
                group;
        sent += pair.messages() - before;
        pair.advance(milliseconds{50});
    }
    out.push_back({name + ".cpu", time / requests, "us"});
    out.push_back({name + ".messages", static_cast<double>(sent) / requests, "messages"});
    out.push_back({name + ".answered", static_cast<double>(answered) / requests, "1"});
}

void measure_placement(const settings_ptr& settings, measurements& out)
{
    const routing_table routes{make_endpoints(planned_fleet), settings};
    const auto strategy = make_last_two_strategy();
    const auto& account = settings->accounts.at(account_id::of(account_name(0)));
    std::size_t planned = 0;
    const auto plan = [&](std::uint64_t n)
    {
        const auto list = routes.candidates(model_service(), account, served_model());
        chat_locations known;
        if (n % 2 != 0)
        {
            known.endpoints = {list[n % list.size()].endpoint, list[n * 7 % list.size()].endpoint};
        }
        planned +=
            strategy->plan({hash_combine(n, 2), hash_combine(n, 3), known, list}).sample.size();
    };
    out.push_back({"path.candidates_and_placement.cpu", mean_cpu_us(messages, plan), "us"});
    out.push_back({"path.candidates_and_placement.sampled", static_cast<double>(planned) / messages,
                   "endpoints"});
}

void measure_tick(const settings_ptr& settings, measurements& out)
{
    auto shape = one_domain(3);
    shape.plain_endpoints = 0;
    coordinator_group pair{settings, make_endpoints(shape), 1};
    // Lets the engines pass their cold start first.
    for (std::uint64_t n = 0; n != 600; ++n)
    {
        pair.run_request(n);
        pair.advance(milliseconds{50});
    }
    for (std::uint64_t n = 0; n != held_requests; ++n)
    {
        pair.hold_request(n);
    }
    out.push_back({"path.tick.running", static_cast<double>(pair.front().running()), "requests"});
    const auto tick = [&](std::uint64_t) { pair.advance(milliseconds{50}); };
    out.push_back({"path.tick.cpu", mean_cpu_us(2000, tick), "us"});
    const auto endpoint = pair.front().slots().owned().front();
    const slot_renewal renewal{endpoint, {}};
    const auto renew = [&](std::uint64_t)
    { pair.front().on_message(instance_id{7}, renewal, pair.now()); };
    out.push_back({"path.renewal.cpu", mean_cpu_us(messages, renew), "us"});
}

std::vector<listed_instance> make_instance_list(std::size_t count)
{
    std::vector<listed_instance> result;
    for (std::size_t n = 0; n != count; ++n)
    {
        result.push_back({absl::StrCat("router-", n), absl::StrCat("127.0.0.1:", 10000 + n),
                          domain_id::of(domain_name(0)), false});
    }
    return result;
}

void measure_members(const settings_ptr& settings, measurements& out)
{
    coordinator_group pair{settings, make_endpoints(one_domain(3)), 1};
    const auto none = make_endpoints(one_domain(3));
    const auto before = heap_bytes();
    pair.front().on_platform_list(make_instance_list(planned_fleet.instances), none, pair.now());
    const auto added = heap_bytes() - before;
    out.push_back({"memory.member", added / (planned_fleet.instances - 1), "B"});
    const auto from = instance_id::of("router-1");
    const auto probe_time = mean_cpu_us(messages,
                                        [&](std::uint64_t n)
                                        {
                                            const probe msg{n, settings->stamp, {}, false};
                                            pair.front().on_message(from, msg, pair.now());
                                        });
    out.push_back({"path.probe.cpu", probe_time, "us"});
}

void measure_settings(measurements& out)
{
    const auto text = settings_text(planned_fleet);
    const auto read = [&](std::uint64_t)
    {
        if (!parse_settings(text, 1).ok())
        {
            throw std::logic_error{"the generated settings are invalid"};
        }
    };
    out.push_back({"path.settings_text", static_cast<double>(text.size()), "B"});
    out.push_back({"path.settings_read.cpu", mean_cpu_us(10, read), "us"});
    auto half = planned_fleet;
    half.accounts /= 2;
    auto before = heap_bytes();
    const auto small = make_settings(half);
    const auto small_bytes = heap_bytes() - before;
    before = heap_bytes();
    const auto whole = make_settings(planned_fleet);
    const auto whole_bytes = heap_bytes() - before;
    const auto slope =
        (whole_bytes - small_bytes) / static_cast<double>(planned_fleet.accounts - half.accounts);
    out.push_back({"memory.account", slope, "B"});
    out.push_back({"memory.settings", whole_bytes, "B"});
}

/// Measures the heap of a list of endpoints, and of the ledgers if one instance owns them all.
void measure_endpoints(const settings_ptr& settings, measurements& out)
{
    const auto count = static_cast<double>(planned_fleet.engines + planned_fleet.plain_endpoints);
    auto before = heap_bytes();
    const auto endpoints = make_endpoints(one_domain(planned_fleet.engines));
    out.push_back({"memory.listed_endpoint", (heap_bytes() - before) / count, "B"});
    const auto none = make_endpoints({1, 0, 0, 1, 0, false});
    coordinator_group pair{settings, none, 1};
    before = heap_bytes();
    pair.front().on_platform_list(make_instance_list(1), endpoints, pair.now());
    pair.advance(seconds{10});
    out.push_back({"memory.owned_endpoint", (heap_bytes() - before) / count, "B"});
    constexpr std::size_t held = 600;
    before = heap_bytes();
    for (std::uint64_t n = 0; n != held; ++n)
    {
        pair.hold_request(n);
    }
    out.push_back({"memory.running_request", (heap_bytes() - before) / held, "B"});
}

} // namespace

int run_path(const std::vector<std::string>& args)
{
    const auto options = parse_options(args);
    measurements out;
    const auto settings = make_settings(planned_fleet);
    // The first request of a limited account waits until a later tick for tokens from its owner.
    auto unlimited_shape = planned_fleet;
    unlimited_shape.limited = false;
    const auto unlimited = make_settings(unlimited_shape);
    measure_path("path.own", unlimited, 1, out);
    measure_path("path.remote", unlimited, 2, out);
    measure_path("path.limited_remote", settings, 2, out);
    measure_placement(settings, out);
    measure_tick(settings, out);
    measure_members(settings, out);
    measure_settings(out);
    measure_endpoints(settings, out);
    print_measurements(std::cout, out, options.json);
    return 0;
}

} // namespace mangovane::bench

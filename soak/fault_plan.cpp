// Implementation of the fault plan.
#include "soak/fault_plan.hpp"

#include <algorithm>
#include <array>
#include <random>
#include <span>

namespace mangovane::soak
{

namespace
{

constexpr milliseconds first_fault{500};
constexpr std::uint64_t fault_window_ms =
    9000; ///< Faults start within this time after `first_fault`.
/// Kinds that are drawn at random; `endpoint_breaks_off` is added by a generator of its own, so
/// that the plans of the seeds that once failed stay as they are.
constexpr std::size_t drawn_kind_count = 22;

/// One response fault is added for this many drawn faults.
constexpr std::size_t faults_per_break_off = 4;
constexpr std::uint64_t break_off_seed = 0x6272656b;

/// A burst, a long pause and busy cores are added for this many drawn faults, by a generator of
/// their own.
constexpr std::size_t faults_per_added_kind = 8;
constexpr std::uint64_t added_kinds_seed = 0x69646c65;

/// Longer than the idle timeout of 5 s, and shorter than the 6 s for which callers wait.
constexpr std::uint64_t min_idle_pause_ms = 5200;
constexpr std::uint64_t max_idle_pause_ms = 5800;
/// Bursts before long pauses start in this window, so that the pauses end before the undisturbed
/// phase.
constexpr std::uint64_t idle_pause_window_ms = 6500;
constexpr milliseconds burst_before_pause{1000};
constexpr milliseconds burst_duration{3000};

constexpr std::uint64_t min_fault_ms = 300;
constexpr std::uint64_t max_fault_ms = 4000;

/// The undisturbed phase starts when all faults have ended and the settle margin has passed.
constexpr milliseconds undisturbed_start{17000};
constexpr milliseconds undisturbed_change_interval{600};
constexpr milliseconds undisturbed_duration{9500};

/// Changes of the undisturbed phase, in this order.
constexpr std::array undisturbed_changes{fault_kind::configure,       fault_kind::drain_endpoint,
                                         fault_kind::take_domain_out, fault_kind::configure,
                                         fault_kind::stop_router,     fault_kind::hang_up};

/// Phases of a plan of stops. The first stop comes when long work is in progress everywhere; the
/// phase of faults begins while the last of the stopped routers still has requests.
constexpr std::uint64_t stops_begin_ms = 2500;
constexpr std::uint64_t stops_among_faults_ms = 10000;
constexpr std::uint64_t stops_end_ms = 17000;
constexpr std::uint64_t max_first_stop_delay_ms = 1000;

/// Times between two events of a kind. Those between stops are far below the grace period, so that
/// stops overlap.
constexpr std::uint64_t min_stop_gap_ms = 200;
constexpr std::uint64_t max_stop_gap_ms = 1800;
constexpr std::uint64_t min_change_gap_ms = 150;
constexpr std::uint64_t max_change_gap_ms = 900;
constexpr std::size_t stops_among_faults = 3;
constexpr milliseconds stop_request_duration{1};

/// Planned changes beside the stops. Endpoints that leave are replaced, so that drains go on.
constexpr std::array stop_phase_changes{fault_kind::hang_up, fault_kind::configure,
                                        fault_kind::hang_up, fault_kind::drain_endpoint,
                                        fault_kind::add_cold_endpoint};

/// Phases of a plan of changes: faults start in the first one; the second one starts when they have
/// ended and the settle margin has passed.
constexpr std::uint64_t changes_begin_ms = 800;
constexpr std::uint64_t change_faults_end_ms = 4500;
constexpr std::uint64_t changes_end_ms = 7500;
constexpr milliseconds quiet_changes_begin{12500};
constexpr milliseconds quiet_return_delay{700};
/// After the return of the quiet phase, rows are written again for 2 s, and a configuration must be
/// in force 2 s later. The rest is time for probes.
constexpr milliseconds quiet_return_margin{5500};
/// The last configuration has this long to be in force.
constexpr milliseconds last_change_duration{2500};
/// Returns of the store among the faults begin in these windows.
constexpr std::uint64_t first_return_ms = 2000;
constexpr std::uint64_t first_return_end_ms = 4000;
constexpr std::uint64_t second_return_ms = 5500;
constexpr std::uint64_t second_return_end_ms = 8000;
/// Uncontrolled callers begin in this window, by a generator of their own, so that they can be left
/// out of a plan without changing the rest. They outlast the time in which a head must arrive.
constexpr std::uint64_t uncontrolled_seed = 0x63726f77;
constexpr std::uint64_t uncontrolled_begin_ms = 1000;
constexpr std::uint64_t uncontrolled_begin_end_ms = 5500;
constexpr std::uint64_t min_uncontrolled_ms = 2000;
constexpr std::uint64_t max_uncontrolled_ms = 4000;
/// A rollout is ordered in this window, by a generator of its own. It ends before the undisturbed
/// return of the store.
constexpr std::uint64_t rollout_seed = 0x726f6c6c;
constexpr std::uint64_t rollout_begin_ms = 500;
constexpr std::uint64_t rollout_begin_end_ms = 1500;
/// Time for which the store is down before it comes back older.
constexpr std::uint64_t min_return_ms = 200;
constexpr std::uint64_t max_return_ms = 1000;
constexpr std::uint64_t min_configure_gap_ms = 400;
constexpr std::uint64_t max_configure_gap_ms = 1500;
/// Changes that lose a row of each kind when the store comes back older.
constexpr std::array change_phase_changes{fault_kind::configure, fault_kind::add_cold_endpoint,
                                          fault_kind::configure, fault_kind::drain_endpoint,
                                          fault_kind::configure, fault_kind::take_domain_out};

std::uint64_t between(std::mt19937_64& random, std::uint64_t low, std::uint64_t high)
{
    return low + random() % (high - low);
}

fault_event draw(fault_kind kind, std::mt19937_64& random)
{
    const auto from = first_fault + milliseconds{between(random, 0, fault_window_ms)};
    const auto length = milliseconds{between(random, min_fault_ms, max_fault_ms)};
    return {kind, from, from + length, random()};
}

/// Draws a long pause and a burst of calls before it, so that many connections are idle when the
/// pause begins and are used again during it.
void add_idle_pause(fault_plan& plan, std::mt19937_64& random)
{
    const auto burst = first_fault + milliseconds{between(random, 0, idle_pause_window_ms)};
    const auto pause = burst + burst_before_pause;
    const auto length = milliseconds{between(random, min_idle_pause_ms, max_idle_pause_ms)};
    plan.events.push_back({fault_kind::call_burst, burst, burst + burst_duration, random()});
    plan.events.push_back({fault_kind::pause_past_idle, pause, pause + length, random()});
}

/// Draws a fault that is not of the store. With a plan of changes, an overlapping fault of the
/// store would replace its return.
fault_kind draw_fault_beside_store(std::mt19937_64& random)
{
    fault_kind result{};
    do
    {
        result = static_cast<fault_kind>(random() % first_planned_kind);
    } while (result >= fault_kind::store_down && result <= fault_kind::store_forgets);
    return result;
}

/// Stops routers one after the other, beginning with a drawn one.
void add_stop_series(fault_plan& plan,
                     std::uint64_t begin_ms,
                     std::size_t count,
                     std::size_t routers,
                     std::mt19937_64& random)
{
    const auto first_router = random() % routers;
    auto at = begin_ms + between(random, 0, max_first_stop_delay_ms);
    for (std::size_t n = 0; n != count; ++n)
    {
        const milliseconds from{at};
        plan.events.push_back({fault_kind::stop_router, from, from + stop_request_duration,
                               (first_router + n) % routers});
        at += between(random, min_stop_gap_ms, max_stop_gap_ms);
    }
}

/// Lets the store go down at `from` and come back older.
void add_store_return(fault_plan& plan, milliseconds from, std::mt19937_64& random)
{
    const milliseconds length{between(random, min_return_ms, max_return_ms)};
    plan.events.push_back({fault_kind::store_returns_older, from, from + length, random()});
}

void sort_by_start(fault_plan& plan)
{
    std::sort(plan.events.begin(), plan.events.end(),
              [](const auto& lhs, const auto& rhs) { return lhs.from < rhs.from; });
}

} // namespace

std::string_view name_of(fault_kind kind)
{
    static constexpr std::array<std::string_view, fault_kind_count> names{
        "kill_router",    "pause_router",     "cut_store",           "cut_peers",
        "delay_peers",    "reset_links",      "silence_links",       "store_down",
        "store_silent",   "store_slow",       "store_loses",         "store_forgets",
        "endpoint_fails", "endpoint_crashes", "endpoint_slow",       "endpoint_silent",
        "stop_router",    "hang_up",          "configure",           "add_cold_endpoint",
        "drain_endpoint", "take_domain_out",  "endpoint_breaks_off", "pause_past_idle",
        "busy_cores",     "call_burst",       "store_returns_older", "uncontrolled_callers",
        "order_rollout"};
    return names[static_cast<std::size_t>(kind)];
}

fault_plan make_plan(std::uint64_t seed, std::size_t fault_count, bool brief)
{
    std::mt19937_64 random{seed};
    fault_plan result;
    for (std::size_t n = 0; n != fault_count; ++n)
    {
        const auto kind = static_cast<fault_kind>(random() % drawn_kind_count);
        result.events.push_back(draw(kind, random));
    }
    std::mt19937_64 break_off_random{seed ^ break_off_seed};
    for (std::size_t n = 0; n < fault_count; n += faults_per_break_off)
    {
        result.events.push_back(draw(fault_kind::endpoint_breaks_off, break_off_random));
    }
    std::mt19937_64 added_random{seed ^ added_kinds_seed};
    for (std::size_t n = 0; n < fault_count; n += faults_per_added_kind)
    {
        add_idle_pause(result, added_random);
        result.events.push_back(draw(fault_kind::busy_cores, added_random));
    }
    auto at = undisturbed_start;
    for (const auto kind : brief ? std::span<const fault_kind>{} : std::span{undisturbed_changes})
    {
        result.events.push_back({kind, at, undisturbed_start + undisturbed_duration, random()});
        at += undisturbed_change_interval;
    }
    sort_by_start(result);
    return result;
}

fault_plan make_stop_plan(std::uint64_t seed, std::size_t fault_count, std::size_t routers)
{
    std::mt19937_64 random{seed};
    fault_plan result;
    add_stop_series(result, stops_begin_ms, routers - routers / 3, routers, random);
    add_stop_series(result, stops_among_faults_ms, stops_among_faults, routers, random);
    for (auto at = stops_begin_ms; at < stops_end_ms;
         at += between(random, min_change_gap_ms, max_change_gap_ms))
    {
        const auto kind = stop_phase_changes.at(random() % stop_phase_changes.size());
        const milliseconds from{at};
        const milliseconds length{between(random, min_fault_ms, max_fault_ms)};
        result.events.push_back({kind, from, from + length, random()});
    }
    for (std::size_t n = 0; n != fault_count; ++n)
    {
        const auto kind = static_cast<fault_kind>(random() % first_planned_kind);
        const milliseconds from{between(random, stops_among_faults_ms, stops_end_ms)};
        const milliseconds length{between(random, min_fault_ms, max_fault_ms)};
        result.events.push_back({kind, from, from + length, random()});
    }
    sort_by_start(result);
    return result;
}

fault_plan make_change_plan(std::uint64_t seed, std::size_t fault_count)
{
    std::mt19937_64 random{seed};
    fault_plan result;
    for (auto at = changes_begin_ms; at < changes_end_ms;
         at += between(random, min_configure_gap_ms, max_configure_gap_ms))
    {
        const auto kind = change_phase_changes.at(random() % change_phase_changes.size());
        const milliseconds from{at};
        const milliseconds length{between(random, min_fault_ms, max_fault_ms)};
        result.events.push_back({kind, from, from + length, random()});
    }
    for (std::size_t n = 0; n != fault_count; ++n)
    {
        const auto kind = draw_fault_beside_store(random);
        const milliseconds from{between(random, changes_begin_ms, change_faults_end_ms)};
        const milliseconds length{between(random, min_fault_ms, max_fault_ms)};
        result.events.push_back({kind, from, from + length, random()});
    }
    add_store_return(result, milliseconds{between(random, first_return_ms, first_return_end_ms)},
                     random);
    add_store_return(result, milliseconds{between(random, second_return_ms, second_return_end_ms)},
                     random);
    std::mt19937_64 uncontrolled_random{seed ^ uncontrolled_seed};
    const milliseconds crowd{
        between(uncontrolled_random, uncontrolled_begin_ms, uncontrolled_begin_end_ms)};
    const milliseconds crowd_time{
        between(uncontrolled_random, min_uncontrolled_ms, max_uncontrolled_ms)};
    result.events.push_back(
        {fault_kind::uncontrolled_callers, crowd, crowd + crowd_time, uncontrolled_random()});
    std::mt19937_64 rollout_random{seed ^ rollout_seed};
    const milliseconds order{between(rollout_random, rollout_begin_ms, rollout_begin_end_ms)};
    result.events.push_back({fault_kind::order_rollout, order, order, rollout_random()});
    result.events.push_back({fault_kind::configure, quiet_changes_begin, quiet_changes_begin, 0});
    add_store_return(result, quiet_changes_begin + quiet_return_delay, random);
    const auto end = quiet_changes_begin + quiet_return_delay + quiet_return_margin;
    result.events.push_back({fault_kind::configure, end, end + last_change_duration, 0});
    sort_by_start(result);
    return result;
}

} // namespace mangovane::soak

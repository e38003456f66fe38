// Implementation of the fault injector.
#include "soak/fault_injector.hpp"

#include <algorithm>
#include <csignal>

#include "soak/fault_variants.hpp"

namespace mangovane::soak
{

namespace
{

constexpr std::uint32_t failing_requests = 4;
constexpr std::uint32_t broken_off_responses = 12;

/// Half of the cores of the machines that run the soak.
constexpr std::size_t busy_thread_count = 4;

/// A drain is skipped if it would leave fewer endpoints in the service.
constexpr int min_endpoints = 2;

} // namespace

const std::array<fault_injector::fault_rule, fault_kind_count> fault_injector::rules{{
    {&fault_injector::kill_router, &fault_injector::restart_router},
    {&fault_injector::pause_router, &fault_injector::continue_router},
    {&fault_injector::cut_store, &fault_injector::restore_links},
    {&fault_injector::cut_peers, &fault_injector::restore_links},
    {&fault_injector::delay_peers, &fault_injector::restore_links},
    {&fault_injector::reset_links, &fault_injector::restore_links},
    {&fault_injector::silence_links, &fault_injector::restore_links},
    {&fault_injector::store_down, &fault_injector::restore_store},
    {&fault_injector::store_silent, &fault_injector::restore_store},
    {&fault_injector::store_slow, &fault_injector::restore_store},
    {&fault_injector::store_loses, &fault_injector::restore_store},
    {&fault_injector::store_forgets, &fault_injector::restore_store},
    {&fault_injector::endpoint_fails, &fault_injector::restore_endpoint},
    {&fault_injector::endpoint_crashes, &fault_injector::restore_endpoint},
    {&fault_injector::endpoint_slow, &fault_injector::restore_endpoint},
    {&fault_injector::endpoint_silent, &fault_injector::restore_endpoint},
    {&fault_injector::stop_router, &fault_injector::restart_router},
    {&fault_injector::hang_up, &fault_injector::end_outage},
    {&fault_injector::configure, &fault_injector::end_outage},
    {&fault_injector::add_cold_endpoint, &fault_injector::end_outage},
    {&fault_injector::drain_endpoint, &fault_injector::remove_endpoint},
    {&fault_injector::take_domain_out, &fault_injector::take_domain_back},
    {&fault_injector::endpoint_breaks_off, &fault_injector::restore_endpoint},
    {&fault_injector::pause_router, &fault_injector::continue_router},
    {&fault_injector::busy_cores, &fault_injector::free_cores},
    {&fault_injector::call_burst, &fault_injector::end_outage},
    {&fault_injector::store_down, &fault_injector::return_older_store},
    {&fault_injector::begin_uncontrolled_callers, &fault_injector::end_uncontrolled_callers},
    {&fault_injector::order_rollout, &fault_injector::end_outage},
}};

fault_injector::fault_injector(deployment& fleet, observation_recorder& recorder, fault_plan plan)
    : fleet_{fleet}, recorder_{recorder}, plan_{std::move(plan)},
      faulted_routers_(fleet.routers().size()), store_return_{fleet, recorder}, rollouts_{fleet,
                                                                                          recorder}
{}

bool fault_injector::advance(time_point now, time_point start)
{
    store_return_.advance(now);
    rollouts_.advance(now);
    for (auto it = active_faults_.begin(); it != active_faults_.end();)
    {
        if (now < start + it->event.until)
        {
            ++it;
            continue;
        }
        auto ended = *it;
        it = active_faults_.erase(it);
        if (!ended.skipped)
        {
            (this->*rules[static_cast<std::size_t>(ended.event.kind)].end)(ended);
        }
    }
    while (next_ != plan_.events.size() && now >= start + plan_.events[next_].from)
    {
        active_fault it;
        it.event = plan_.events[next_++];
        it.begun_at = now;
        (this->*rules[static_cast<std::size_t>(it.event.kind)].begin)(it);
        active_faults_.push_back(it);
    }
    advance_restarts();
    check_processes();
    return next_ != plan_.events.size() || !active_faults_.empty() || !restarts_.empty() ||
           store_return_.pending() || rollouts_.pending();
}

// Selection of the affected router, store or endpoint.

void fault_injector::begin_router_fault(active_fault& it, bool planned)
{
    it.router = it.event.random_value % faulted_routers_.size();
    it.skipped = faulted_routers_[it.router];
    if (!it.skipped)
    {
        faulted_routers_[it.router] = true;
        it.outage = recorder_.begin(it.router, planned);
    }
}

void fault_injector::begin_store_fault(active_fault& it, standin::store_faults faults)
{
    it.skipped = store_faulted_;
    if (!it.skipped)
    {
        store_faulted_ = true;
        it.outage = recorder_.begin(store_component, false);
        fleet_.store().set_faults(faults);
    }
}

void fault_injector::begin_endpoint_fault(active_fault& it)
{
    const auto all = fleet_.endpoints();
    it.target = all[it.event.random_value / 16 % all.size()];
    it.outage = recorder_.begin(endpoint_component(it.target->number), false);
}

void fault_injector::end_outage(active_fault& it)
{
    if (it.outage)
    {
        recorder_.end(*it.outage);
    }
}

// Routers.

void fault_injector::kill_router(active_fault& it)
{
    begin_router_fault(it, false);
    if (!it.skipped)
    {
        end_process(it.router, SIGKILL);
    }
}

void fault_injector::end_process(std::size_t router, int signal)
{
    const auto& it = *fleet_.routers()[router];
    recorder_.add(process_end{router, it.process_number, clock::now(), signal == SIGTERM});
    it.process->signal(signal);
}

void fault_injector::pause_router(active_fault& it)
{
    begin_router_fault(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->process->signal(SIGSTOP);
    }
}

void fault_injector::continue_router(active_fault& it)
{
    fleet_.routers()[it.router]->process->signal(SIGCONT);
    faulted_routers_[it.router] = false;
    end_outage(it);
}

void fault_injector::stop_router(active_fault& it)
{
    begin_router_fault(it, true);
    if (!it.skipped)
    {
        end_process(it.router, SIGTERM);
    }
}

void fault_injector::stop_all_routers()
{
    for (std::size_t n = 0; n != faulted_routers_.size(); ++n)
    {
        faulted_routers_[n] = true;
        (void)recorder_.begin(n, true); // Lasts until the end of the run.
        end_process(n, SIGTERM);
    }
}

void fault_injector::hang_up(active_fault& it)
{
    const auto router = it.event.random_value % faulted_routers_.size();
    // SIGHUP ends a process that has not installed its handlers yet.
    it.skipped = is_starting(router);
    if (!it.skipped)
    {
        it.outage = recorder_.begin(router, true);
        fleet_.routers()[router]->process->signal(SIGHUP);
    }
}

bool fault_injector::is_starting(std::size_t router) const
{
    return std::any_of(restarts_.begin(), restarts_.end(),
                       [&](const pending_restart& it)
                       { return it.router == router && it.started; });
}

void fault_injector::restart_router(active_fault& it)
{
    restarts_.push_back({it.router, it.outage, false});
}

void fault_injector::advance_restarts()
{
    std::erase_if(restarts_, [this](pending_restart& it) { return advance_restart(it); });
}

bool fault_injector::advance_restart(pending_restart& it)
{
    auto& process = *fleet_.routers()[it.router]->process;
    if (!it.started && process.wait(milliseconds{0}))
    {
        fleet_.start(it.router);
        it.started = true;
    }
    if (!it.started || !fleet_.ready(it.router))
    {
        return false;
    }
    faulted_routers_[it.router] = false;
    recorder_.end(*it.outage);
    return true;
}

void fault_injector::check_processes()
{
    for (std::size_t n = 0; n != faulted_routers_.size(); ++n)
    {
        const auto code = fleet_.routers()[n]->process->wait(milliseconds{0});
        if (code && !faulted_routers_[n])
        {
            faulted_routers_[n] = true; // It takes no further faults.
            unexpected_exits_.push_back({n, *code});
        }
    }
}

// Links.

void fault_injector::cut_store(active_fault& it)
{
    begin_router_fault(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->store_link->set(cut_of(it.event.random_value / 16));
    }
}

void fault_injector::cut_peers(active_fault& it)
{
    begin_router_fault(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->peer_link->set(cut_of(it.event.random_value / 16));
    }
}

void fault_injector::delay_peers(active_fault& it)
{
    begin_router_fault(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->peer_link->set({milliseconds{120}, false, false, false});
    }
}

void fault_injector::reset_links(active_fault& it)
{
    begin_router_fault(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->store_link->reset_all();
        fleet_.routers()[it.router]->peer_link->reset_all();
    }
}

void fault_injector::silence_links(active_fault& it)
{
    begin_router_fault(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->store_link->stall_all();
        fleet_.routers()[it.router]->peer_link->stall_all();
    }
}

void fault_injector::restore_links(active_fault& it)
{
    fleet_.routers()[it.router]->store_link->set({});
    fleet_.routers()[it.router]->peer_link->set({});
    faulted_routers_[it.router] = false;
    end_outage(it);
}

// The store.

void fault_injector::store_down(active_fault& it)
{
    begin_store_fault(it, {.down = true});
}

void fault_injector::store_silent(active_fault& it)
{
    begin_store_fault(it, {.silent = true});
}

void fault_injector::store_slow(active_fault& it)
{
    begin_store_fault(it, {.slow_ms = 300});
}

void fault_injector::store_loses(active_fault& it)
{
    begin_store_fault(it, {.lose_answers = true});
}

void fault_injector::store_forgets(active_fault& it)
{
    begin_store_fault(it, {.no_history = true});
}

void fault_injector::restore_store(active_fault& it)
{
    fleet_.store().set_faults({});
    store_faulted_ = false;
    end_outage(it);
}

void fault_injector::return_older_store(active_fault& it)
{
    store_return_.come_back(it.begun_at, it.event.random_value, clock::now());
    restore_store(it);
}

// Endpoints.

void fault_injector::endpoint_fails(active_fault& it)
{
    begin_endpoint_fault(it);
    it.target->engine.set_fault(engine_fault_of(it.event.random_value), failing_requests);
}

void fault_injector::endpoint_breaks_off(active_fault& it)
{
    begin_endpoint_fault(it);
    it.target->engine.set_fault(standin::engine_fault::break_off, broken_off_responses);
}

void fault_injector::endpoint_crashes(active_fault& it)
{
    begin_endpoint_fault(it);
    it.target->link().set({milliseconds{0}, false, false, true});
    it.target->link().reset_all();
}

void fault_injector::endpoint_slow(active_fault& it)
{
    begin_endpoint_fault(it);
    it.target->link().set({milliseconds{150}, false, false, false});
}

void fault_injector::endpoint_silent(active_fault& it)
{
    begin_endpoint_fault(it);
    it.target->link().stall_all();
}

void fault_injector::restore_endpoint(active_fault& it)
{
    it.target->engine.set_fault(standin::engine_fault::none, 0);
    it.target->link().set({});
    end_outage(it);
}

// The machine and the callers.

void fault_injector::busy_cores(active_fault& it)
{
    it.skipped = busy_.has_value();
    if (!it.skipped)
    {
        it.outage = recorder_.begin(machine_component, false);
        busy_.emplace(busy_thread_count);
    }
}

void fault_injector::free_cores(active_fault& it)
{
    busy_.reset();
    end_outage(it);
}

void fault_injector::call_burst(active_fault& it)
{
    // The callers of the burst start by themselves; the load bounds don't hold meanwhile.
    it.outage = recorder_.begin(machine_component, false);
}

void fault_injector::begin_uncontrolled_callers(active_fault& it)
{
    it.skipped = uncontrolled_.has_value();
    if (!it.skipped)
    {
        it.router = it.event.random_value % faulted_routers_.size();
        // The callers take cores from all processes.
        it.outage = recorder_.begin(machine_component, false);
        uncontrolled_.emplace(fleet_.io(), fleet_.address(it.router));
    }
}

void fault_injector::end_uncontrolled_callers(active_fault& it)
{
    uncontrolled_.reset();
    const auto memory = fleet_.routers()[it.router]->process->peak_memory_kb();
    recorder_.add(uncontrolled_period{it.router, it.begun_at, clock::now(), memory});
    end_outage(it);
}

// Planned changes.

void fault_injector::configure(active_fault& /*it*/)
{
    fleet_.configure();
}

void fault_injector::add_cold_endpoint(active_fault& /*it*/)
{
    const std::string service{"dictamen"};
    fleet_.add_endpoint({service, fleet_.version_of(service), deployment::cold_time});
}

void fault_injector::order_rollout(active_fault& it)
{
    rollouts_.begin(it.event.random_value);
}

void fault_injector::drain_endpoint(active_fault& it)
{
    const auto all = fleet_.endpoints();
    auto* chosen = all[it.event.random_value % all.size()];
    const auto staying = std::count_if(all.begin(), all.end(),
                                       [&](const endpoint* other)
                                       {
                                           return other->service == chosen->service &&
                                                  other->version == chosen->version &&
                                                  !other->leaving;
                                       });
    it.skipped = chosen->leaving || staying <= min_endpoints;
    if (!it.skipped)
    {
        it.target = chosen;
        fleet_.drain(*chosen);
    }
}

void fault_injector::remove_endpoint(active_fault& it)
{
    fleet_.remove_entry(*it.target);
}

void fault_injector::take_domain_out(active_fault& it)
{
    it.skipped = std::exchange(domain_out_, true);
    if (!it.skipped)
    {
        fleet_.evacuate_domain(deployment::domain_of(it.event.random_value));
    }
}

void fault_injector::take_domain_back(active_fault& it)
{
    domain_out_ = false;
    fleet_.restore_domain(deployment::domain_of(it.event.random_value));
}

} // namespace mangovane::soak

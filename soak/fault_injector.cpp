// Implementation of the faults.
#include "soak/fault_injector.hpp"

#include <algorithm>
#include <array>
#include <csignal>

namespace mangovane::soak
{

namespace
{

constexpr std::uint32_t failing_requests = 4;

/// Endpoints of a service that must stay when one announces that it leaves.
constexpr int least_endpoints = 2;

/// One of the three ways in which a link can be cut.
link_condition cut_of(std::uint64_t chance)
{
    const auto way = chance % 3;
    return {milliseconds{0}, way != 1, way != 2, false};
}

standin::engine_fault engine_fault_of(std::uint64_t chance)
{
    static constexpr std::array faults{
        standin::engine_fault::full,    standin::engine_fault::error,
        standin::engine_fault::hang,    standin::engine_fault::reset,
        standin::engine_fault::cut,     standin::engine_fault::garbage,
        standin::engine_fault::foreign, standin::engine_fault::unsigned_answer,
        standin::engine_fault::vague};
    return faults[chance % faults.size()];
}

} // namespace

const std::array<fault_injector::fault_rule, fault_kind_count> fault_injector::rules{{
    {&fault_injector::kill_router, &fault_injector::restart_router},
    {&fault_injector::pause_router, &fault_injector::continue_router},
    {&fault_injector::cut_store, &fault_injector::heal_links},
    {&fault_injector::cut_peers, &fault_injector::heal_links},
    {&fault_injector::delay_peers, &fault_injector::heal_links},
    {&fault_injector::reset_links, &fault_injector::heal_links},
    {&fault_injector::silence_links, &fault_injector::heal_links},
    {&fault_injector::store_down, &fault_injector::heal_store},
    {&fault_injector::store_silent, &fault_injector::heal_store},
    {&fault_injector::store_slow, &fault_injector::heal_store},
    {&fault_injector::store_loses, &fault_injector::heal_store},
    {&fault_injector::store_forgets, &fault_injector::heal_store},
    {&fault_injector::endpoint_fails, &fault_injector::heal_endpoint},
    {&fault_injector::endpoint_crashes, &fault_injector::heal_endpoint},
    {&fault_injector::endpoint_slow, &fault_injector::heal_endpoint},
    {&fault_injector::endpoint_silent, &fault_injector::heal_endpoint},
    {&fault_injector::stop_router, &fault_injector::restart_router},
    {&fault_injector::hang_up, &fault_injector::end_outage},
    {&fault_injector::configure, &fault_injector::end_outage},
    {&fault_injector::add_cold_endpoint, &fault_injector::end_outage},
    {&fault_injector::drain_endpoint, &fault_injector::end_endpoint},
    {&fault_injector::take_domain_out, &fault_injector::take_domain_back},
}};

fault_injector::fault_injector(deployment& fleet, history& seen, fault_plan plan)
    : fleet_{fleet}, seen_{seen}, plan_{std::move(plan)}, busy_routers_(fleet.routers().size())
{}

bool fault_injector::advance(time_point now, time_point start)
{
    for (auto it = running_.begin(); it != running_.end();)
    {
        if (now < start + it->event.until)
        {
            ++it;
            continue;
        }
        auto ended = *it;
        it = running_.erase(it);
        if (!ended.skipped)
        {
            (this->*rules[static_cast<std::size_t>(ended.event.kind)].end)(ended);
        }
    }
    while (next_ != plan_.events.size() && now >= start + plan_.events[next_].from)
    {
        running it;
        it.event = plan_.events[next_++];
        (this->*rules[static_cast<std::size_t>(it.event.kind)].begin)(it);
        running_.push_back(it);
    }
    go_on_with_restarts();
    return next_ != plan_.events.size() || !running_.empty() || !restarts_.empty();
}

// Whom a fault hits.

void fault_injector::hit_router(running& it, bool planned)
{
    it.router = it.event.chance % busy_routers_.size();
    it.skipped = busy_routers_[it.router];
    if (!it.skipped)
    {
        busy_routers_[it.router] = true;
        it.outage = seen_.begin(it.router, planned);
    }
}

void fault_injector::hit_store(running& it, standin::store_faults faults)
{
    it.skipped = store_busy_;
    if (!it.skipped)
    {
        store_busy_ = true;
        it.outage = seen_.begin(the_store, false);
        fleet_.store().set_faults(faults);
    }
}

void fault_injector::hit_endpoint(running& it)
{
    const auto all = fleet_.endpoints();
    it.target = all[it.event.chance / 16 % all.size()];
    it.outage = seen_.begin(the_endpoints, false);
}

void fault_injector::end_outage(running& it)
{
    if (it.outage)
    {
        seen_.end(*it.outage);
    }
}

// Routers.

void fault_injector::kill_router(running& it)
{
    hit_router(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->process->signal(SIGKILL);
    }
}

void fault_injector::pause_router(running& it)
{
    hit_router(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->process->signal(SIGSTOP);
    }
}

void fault_injector::continue_router(running& it)
{
    fleet_.routers()[it.router]->process->signal(SIGCONT);
    busy_routers_[it.router] = false;
    end_outage(it);
}

void fault_injector::stop_router(running& it)
{
    hit_router(it, true);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->process->signal(SIGTERM);
    }
}

void fault_injector::hang_up(running& it)
{
    const auto router = it.event.chance % busy_routers_.size();
    it.outage = seen_.begin(router, true);
    fleet_.routers()[router]->process->signal(SIGHUP);
}

void fault_injector::restart_router(running& it)
{
    restarts_.push_back({it.router, it.outage, false});
}

void fault_injector::go_on_with_restarts()
{
    std::erase_if(restarts_, [this](restart& it) { return go_on(it); });
}

bool fault_injector::go_on(restart& it)
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
    busy_routers_[it.router] = false;
    seen_.end(*it.outage);
    return true;
}

// Links.

void fault_injector::cut_store(running& it)
{
    hit_router(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->store_link->set(cut_of(it.event.chance / 16));
    }
}

void fault_injector::cut_peers(running& it)
{
    hit_router(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->peer_link->set(cut_of(it.event.chance / 16));
    }
}

void fault_injector::delay_peers(running& it)
{
    hit_router(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->peer_link->set({milliseconds{120}, false, false, false});
    }
}

void fault_injector::reset_links(running& it)
{
    hit_router(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->store_link->reset_all();
        fleet_.routers()[it.router]->peer_link->reset_all();
    }
}

void fault_injector::silence_links(running& it)
{
    hit_router(it, false);
    if (!it.skipped)
    {
        fleet_.routers()[it.router]->store_link->silence_all();
        fleet_.routers()[it.router]->peer_link->silence_all();
    }
}

void fault_injector::heal_links(running& it)
{
    fleet_.routers()[it.router]->store_link->set({});
    fleet_.routers()[it.router]->peer_link->set({});
    busy_routers_[it.router] = false;
    end_outage(it);
}

// The store.

void fault_injector::store_down(running& it)
{
    hit_store(it, {.down = true});
}

void fault_injector::store_silent(running& it)
{
    hit_store(it, {.silent = true});
}

void fault_injector::store_slow(running& it)
{
    hit_store(it, {.slow_ms = 300});
}

void fault_injector::store_loses(running& it)
{
    hit_store(it, {.lose_answers = true});
}

void fault_injector::store_forgets(running& it)
{
    hit_store(it, {.no_history = true});
}

void fault_injector::heal_store(running& it)
{
    fleet_.store().set_faults({});
    store_busy_ = false;
    end_outage(it);
}

// Endpoints.

void fault_injector::endpoint_fails(running& it)
{
    hit_endpoint(it);
    it.target->engine.set_fault(engine_fault_of(it.event.chance), failing_requests);
}

void fault_injector::endpoint_crashes(running& it)
{
    hit_endpoint(it);
    it.target->link().set({milliseconds{0}, false, false, true});
    it.target->link().reset_all();
}

void fault_injector::endpoint_slow(running& it)
{
    hit_endpoint(it);
    it.target->link().set({milliseconds{150}, false, false, false});
}

void fault_injector::endpoint_silent(running& it)
{
    hit_endpoint(it);
    it.target->link().silence_all();
}

void fault_injector::heal_endpoint(running& it)
{
    it.target->engine.set_fault(standin::engine_fault::none, 0);
    it.target->link().set({});
    end_outage(it);
}

// Changes by operators and endpoints.

void fault_injector::configure(running& /*it*/)
{
    fleet_.configure();
}

void fault_injector::add_cold_endpoint(running& /*it*/)
{
    fleet_.add_endpoint("dictamen", deployment::cold_time);
}

void fault_injector::drain_endpoint(running& it)
{
    const auto all = fleet_.endpoints();
    auto* chosen = all[it.event.chance % all.size()];
    const auto staying =
        std::count_if(all.begin(), all.end(),
                      [&](const endpoint* other)
                      { return other->service == chosen->service && !other->leaving; });
    it.skipped = chosen->leaving || staying <= least_endpoints;
    if (!it.skipped)
    {
        it.target = chosen;
        fleet_.drain(*chosen);
    }
}

void fault_injector::end_endpoint(running& it)
{
    fleet_.unlist(*it.target);
}

void fault_injector::take_domain_out(running& it)
{
    it.skipped = std::exchange(domain_out_, true);
    if (!it.skipped)
    {
        fleet_.take_out(deployment::domain_of(it.event.chance));
    }
}

void fault_injector::take_domain_back(running& it)
{
    domain_out_ = false;
    fleet_.take_back(deployment::domain_of(it.event.chance));
}

} // namespace mangovane::soak

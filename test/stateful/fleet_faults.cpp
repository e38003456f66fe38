// The fake fleet: faults, operator changes, and recovery at the end of a run.
#include <algorithm>
#include <utility>

#include "fleet.hpp"
#include "fleet_port.hpp"

namespace mangovane::test
{

void fleet::kill(std::size_t n)
{
    auto& node = *nodes_[n % nodes_.size()];
    if (!node.alive)
    {
        return;
    }
    node.alive = false;
    record_disruption();
    for (auto& it : calls_)
    {
        if (it.node == node.index && it.end == call_outcome::pending)
        {
            it.end = call_outcome::aborted;
            it.instance_killed = true;
        }
    }
    node.inbox.clear();
    node.ports.clear();
}

void fleet::replace(std::size_t n)
{
    auto& node = *nodes_[n % nodes_.size()];
    kill(n);
    node.claims.reset();
    start_node(node);
}

void fleet::pause(std::size_t n)
{
    nodes_[n % nodes_.size()]->paused = true;
    record_disruption();
}

void fleet::resume(std::size_t n)
{
    auto& node = *nodes_[n % nodes_.size()];
    if (std::exchange(node.paused, false))
    {
        node.resumed_at = now_;
        record_disruption();
    }
}

void fleet::shut_down(std::size_t n)
{
    auto& node = *nodes_[n % nodes_.size()];
    if (!node.alive || node.paused || node.leaving)
    {
        return;
    }
    node.leaving = true;
    record_disruption();
    node.core->leave(now_);
    if (options_.fault == injected_fault::abort_on_shutdown)
    {
        for (auto& it : calls_)
        {
            if (it.node == node.index && it.end == call_outcome::pending)
            {
                it.end = call_outcome::aborted;
                check_call_outcome(it);
            }
        }
        node.ports.clear();
        node.alive = false;
    }
}

void fleet::engine_down(std::size_t n)
{
    auto& engine = engines_[n % engines_.size()];
    engine.up = false;
    for (auto it : std::exchange(engine.runs, {}))
    {
        it.response_lost = true;
        complete_run(engine, it);
    }
}

void fleet::engine_up(std::size_t n)
{
    auto& engine = engines_[n % engines_.size()];
    if (!std::exchange(engine.up, true))
    {
        ++engine.epoch;
        engine.cold_since = now_;
    }
}

void fleet::engine_cold(std::size_t n)
{
    const auto index = n % engines_.size();
    if (engines_[index].up)
    {
        engine_down(index);
        engine_up(index);
    }
}

void fleet::engine_leave(std::size_t n)
{
    auto& engine = engines_[n % engines_.size()];
    if (!std::exchange(engine.leaving, true))
    {
        engine.left_at = now_;
    }
}

void fleet::engine_return(std::size_t n)
{
    auto& engine = engines_[n % engines_.size()];
    if (std::exchange(engine.leaving, false))
    {
        engine.left_at = time_point::max();
    }
}

void fleet::engine_reset_next(std::size_t n)
{
    engines_[n % engines_.size()].reset_next = true;
}

void fleet::engine_mismatch_next(std::size_t n)
{
    engines_[n % engines_.size()].mismatch_next = true;
}

void fleet::partition_domains(std::size_t lhs, std::size_t rhs)
{
    const auto& a = options_.domains[lhs % options_.domains.size()];
    const auto& b = options_.domains[rhs % options_.domains.size()];
    if (a != b)
    {
        partitions_.insert(std::minmax(a, b));
        record_disruption();
    }
}

void fleet::partition_platform(std::size_t domain)
{
    platform_partitions_.insert(options_.domains[domain % options_.domains.size()]);
    for (auto& it : nodes_)
    {
        it->table->disconnected = platform_partitions_.contains(it->domain);
    }
}

void fleet::heal()
{
    if (!partitions_.empty() || !platform_partitions_.empty())
    {
        record_disruption();
    }
    partitions_.clear();
    platform_partitions_.clear();
    for (auto& it : nodes_)
    {
        it->table->disconnected = false;
    }
}

void fleet::store(bool down, bool lose_responses, milliseconds delay)
{
    rows_.down = down;
    rows_.lose_responses = lose_responses;
    rows_.delay = delay;
}

void fleet::change_settings(std::size_t domain, bool out)
{
    const auto& name = options_.domains[domain % options_.domains.size()];
    if (rows_.down || domains_out_.contains(name) == out)
    {
        return;
    }
    if (out)
    {
        domains_out_.emplace(name, now_);
    }
    else
    {
        domains_out_.erase(name);
    }
    publish_settings();
}

void fleet::settle()
{
    heal();
    store(false, false, milliseconds{2});
    stale_list_ = false;
    for (std::size_t n = 0; n != nodes_.size(); ++n)
    {
        resume(n);
        if (!nodes_[n]->alive)
        {
            replace(n);
        }
    }
    for (std::size_t n = 0; n != engines_.size(); ++n)
    {
        engine_up(n);
        engine_return(n);
    }
    advance(milliseconds{15000});
}

} // namespace mangovane::test

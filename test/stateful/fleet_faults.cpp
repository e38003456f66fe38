// The fake fleet: faults, changes by operators, and the end of a run.
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
    note_disturbance();
    for (auto& it : calls_)
    {
        if (it.node == node.index && it.end == call_end::open)
        {
            it.end = call_end::cut;
            it.node_died = true;
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
    note_disturbance();
}

void fleet::resume(std::size_t n)
{
    auto& node = *nodes_[n % nodes_.size()];
    if (std::exchange(node.paused, false))
    {
        node.resumed_at = now_;
        note_disturbance();
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
    note_disturbance();
    node.core->leave(now_);
    if (options_.fault == planted_fault::cut_on_shutdown)
    {
        for (auto& it : calls_)
        {
            it.end = it.node == node.index && it.end == call_end::open ? call_end::cut : it.end;
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
        it.lost_answer = true;
        end_run(engine, it);
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

void fleet::engine_break_next(std::size_t n)
{
    engines_[n % engines_.size()].break_next = true;
}

void fleet::engine_cross_next(std::size_t n)
{
    engines_[n % engines_.size()].cross_next = true;
}

void fleet::cut_domains(std::size_t lhs, std::size_t rhs)
{
    const auto& a = options_.domains[lhs % options_.domains.size()];
    const auto& b = options_.domains[rhs % options_.domains.size()];
    if (a != b)
    {
        cuts_.insert(std::minmax(a, b));
        note_disturbance();
    }
}

void fleet::cut_platform(std::size_t domain)
{
    platform_cuts_.insert(options_.domains[domain % options_.domains.size()]);
    for (auto& it : nodes_)
    {
        it->table->cut = platform_cuts_.contains(it->domain);
    }
}

void fleet::heal()
{
    if (!cuts_.empty() || !platform_cuts_.empty())
    {
        note_disturbance();
    }
    cuts_.clear();
    platform_cuts_.clear();
    for (auto& it : nodes_)
    {
        it->table->cut = false;
    }
}

void fleet::store(bool down, bool lose_answers, milliseconds delay)
{
    rows_.down = down;
    rows_.lose_answers = lose_answers;
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

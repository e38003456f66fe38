// Implementation of the limit on connections.
#include "mangovane/net/connection_limit.hpp"

#include <algorithm>
#include <utility>

namespace mangovane
{

namespace
{

/// A caller with a sound connection sends a whole request in this time: it gives up a connection on
/// which its request has not been read for one second.
constexpr milliseconds receive_grace{1000};

/// A caller that reads makes progress in this time.
constexpr milliseconds stall_grace{1000};

/// Connections that were asked to close and have not done so yet, at most.
constexpr std::size_t max_leaving = 32;
constexpr std::size_t leaving_divisor = 8; ///< Of a limit below `max_leaving` times this.

/// Connections of a phase that may be closed once they have been in it for `min_time`.
struct eviction_rule
{
    connection_phase phase;
    milliseconds min_time;
};

/// In the order in which they are closed; among those of a rule the longest first.
constexpr std::array eviction_order{
    eviction_rule{connection_phase::closing, milliseconds{0}},
    eviction_rule{connection_phase::receiving, receive_grace},
    eviction_rule{connection_phase::idle, milliseconds{0}},
    eviction_rule{connection_phase::stalled, stall_grace},
    eviction_rule{connection_phase::receiving, milliseconds{0}},
};

/// Files, the store, monitoring, operators, and peers that are not authenticated yet.
constexpr std::size_t own_descriptors = 320;

/// Each instance has a connection in both directions to each other one.
constexpr std::size_t descriptors_per_instance = 2;

std::size_t weight_of(connection_phase phase)
{
    const bool serves = phase == connection_phase::serving || phase == connection_phase::stalled;
    return serves ? 2 : 1;
}

void call_all(const std::vector<connection_limit::evict_handler>& handlers)
{
    for (const auto& it : handlers)
    {
        it();
    }
}

} // namespace

void connection_limit::set_limit(std::size_t limit)
{
    const std::lock_guard lock{mutex_};
    limit_ = limit;
}

std::size_t connection_limit::used() const
{
    const std::lock_guard lock{mutex_};
    return used_;
}

connection_limit::entry_list& connection_limit::list_of(const entry& it)
{
    return it.evicted ? leaving_ : phases_[static_cast<std::size_t>(it.phase)];
}

std::optional<connection_place> connection_limit::admit(evict_handler evict, time_point now)
{
    handlers evicted;
    std::optional<connection_place> result;
    {
        const std::lock_guard lock{mutex_};
        if (leaving_.size() <= std::min(max_leaving, limit_ / leaving_divisor))
        {
            evicted = make_room(1, now);
        }
        if (!is_full())
        {
            auto& list = phases_[static_cast<std::size_t>(connection_phase::receiving)];
            list.push_back({std::move(evict), now});
            ++used_;
            result = connection_place{*this, std::prev(list.end())};
        }
    }
    call_all(evicted);
    return result;
}

connection_limit::handlers connection_limit::make_room(std::size_t descriptors, time_point now)
{
    handlers result;
    bool found = true;
    while (found && used_ + descriptors > limit_)
    {
        found = evict_one(now, result);
    }
    return result;
}

bool connection_limit::evict_one(time_point now, handlers& out)
{
    for (const auto& rule : eviction_order)
    {
        auto& candidates = phases_[static_cast<std::size_t>(rule.phase)];
        if (candidates.empty() || now < candidates.front().since + rule.min_time)
        {
            continue;
        }
        auto& chosen = candidates.front();
        out.push_back(chosen.evict);
        chosen.evicted = true;
        used_ -= weight_of(chosen.phase);
        leaving_.splice(leaving_.end(), candidates, candidates.begin());
        return true;
    }
    return false;
}

void connection_limit::move(position it, connection_phase phase, time_point now)
{
    auto& from = list_of(*it);
    if (!it->evicted)
    {
        used_ -= weight_of(it->phase);
        used_ += weight_of(phase);
    }
    it->phase = phase;
    it->since = now;
    auto& to = list_of(*it);
    to.splice(to.end(), from, it);
}

void connection_limit::keep(position it)
{
    if (it->evicted)
    {
        it->evicted = false;
        used_ += weight_of(it->phase);
        auto& to = list_of(*it);
        to.splice(to.end(), leaving_, it);
    }
}

connection_place::connection_place(connection_place&& other) noexcept
    : limit_{std::exchange(other.limit_, nullptr)}, it_{other.it_}
{}

connection_place& connection_place::operator=(connection_place&& other) noexcept
{
    std::swap(limit_, other.limit_);
    std::swap(it_, other.it_);
    return *this;
}

connection_place::~connection_place()
{
    if (limit_ == nullptr)
    {
        return;
    }
    const std::lock_guard lock{limit_->mutex_};
    limit_->used_ -= it_->evicted ? 0 : weight_of(it_->phase);
    limit_->list_of(*it_).erase(it_);
}

connection_phase connection_place::enter(connection_phase phase, time_point now)
{
    const std::lock_guard lock{limit_->mutex_};
    const auto before = it_->phase;
    limit_->move(it_, phase, now);
    return before;
}

bool connection_place::begin_serving(time_point now)
{
    connection_limit::handlers evicted;
    bool fits = false;
    {
        const std::lock_guard lock{limit_->mutex_};
        limit_->keep(it_);
        // In no list of candidates from here on.
        limit_->move(it_, connection_phase::serving, now);
        evicted = limit_->make_room(0, now);
        fits = limit_->used_ <= limit_->limit_;
        if (!fits)
        {
            limit_->move(it_, connection_phase::receiving, now);
        }
    }
    call_all(evicted);
    return fits;
}

bool connection_place::evicted() const
{
    const std::lock_guard lock{limit_->mutex_};
    return it_->evicted;
}

void connection_place::keep()
{
    const std::lock_guard lock{limit_->mutex_};
    limit_->keep(it_);
}

std::size_t descriptors_for_callers(std::size_t total, std::size_t instances)
{
    const auto own = own_descriptors + descriptors_per_instance * instances;
    return total - std::min(own, total / 2);
}

} // namespace mangovane

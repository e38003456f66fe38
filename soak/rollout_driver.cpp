// Implementation of the orders of rollouts.
#include "soak/rollout_driver.hpp"

#include <algorithm>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace mangovane::soak
{

namespace
{

const std::string service{"ventanilla"};
constexpr seconds rollout_duration{10};
constexpr std::size_t new_endpoints = 3;

/// The endpoints follow a status that arrives so long after the deadline; later, they stay.
constexpr milliseconds status_grace_period{2000};

/// Endpoints of a version that was rolled back announce their drain and leave after these times.
constexpr milliseconds drain_delay{1000};
constexpr milliseconds removal_delay{3000};

/// The time that a stop without draining counts as a fault of its endpoint.
constexpr milliseconds stop_outage{1000};

/// The state in the text of a status row for the version; empty if there is none.
std::string state_of(const std::string& text, const std::string& version)
{
    boost::system::error_code ec;
    const auto value = boost::json::parse(text, ec);
    if (ec || !value.is_object())
    {
        return {};
    }
    const auto& row = value.as_object();
    const auto* to = row.if_contains("to");
    const auto* state = row.if_contains("state");
    const bool matches = to != nullptr && to->is_string() && to->as_string() == version;
    return matches && state != nullptr && state->is_string()
               ? std::string{state->as_string().c_str()}
               : std::string{};
}

} // namespace

std::vector<endpoint*> rollout_driver::endpoints_of(const std::string& version) const
{
    auto result = fleet_.endpoints();
    std::erase_if(result, [&](const endpoint* it)
                  { return it->service != service || it->version != version || it->leaving; });
    return result;
}

void rollout_driver::begin(std::uint64_t random_value)
{
    if (pending())
    {
        return;
    }
    rollout_order order;
    order.service = service;
    order.from = fleet_.version_of(service);
    order.to = absl::StrCat("v", fleet_.endpoints().size());
    order.duration = rollout_duration;
    order.bad = random_value % 2 == 0;
    for (std::size_t n = 0; n != new_endpoints; ++n)
    {
        fleet_.add_endpoint({service, order.to, milliseconds{0}, order.bad});
    }
    fleet_.order_rollout(order);
    order.at = clock::now();
    order_ = order;
    recorder_.add(order);
    running_ = true;
    seen_.clear();
}

void rollout_driver::advance(time_point now)
{
    remove_due(now);
    if (!order_)
    {
        return;
    }
    record_status(now);
    if (!running_)
    {
        return;
    }
    const bool done = seen_ == rollout_done;
    if (done || seen_ == rollout_rolled_back)
    {
        finish(done, now);
    }
    running_ = running_ && now < order_->at + order_->duration + status_grace_period;
}

void rollout_driver::record_status(time_point now)
{
    auto state = state_of(fleet_.rollout_status(service), order_->to);
    if (state != seen_)
    {
        seen_ = std::move(state);
        recorder_.add(status_change{order_->to, seen_, now});
    }
}

void rollout_driver::finish(bool done, time_point now)
{
    running_ = false;
    if (!done)
    {
        for (auto* it : endpoints_of(order_->to))
        {
            removals_.push_back({it, now + drain_delay, now + removal_delay});
        }
        return;
    }
    for (auto* it : endpoints_of(order_->from))
    {
        recorder_.add_outage(endpoint_component(it->number), now, now + stop_outage);
        fleet_.stop_at_once(*it);
    }
    fleet_.set_version(service, order_->to);
}

void rollout_driver::remove_due(time_point now)
{
    for (auto& it : removals_)
    {
        if (now >= it.drain_at && !it.target->leaving)
        {
            fleet_.drain(*it.target);
        }
        if (now >= it.remove_at)
        {
            fleet_.remove_entry(*it.target);
        }
    }
    std::erase_if(removals_, [&](const removal& it) { return now >= it.remove_at; });
}

} // namespace mangovane::soak

// Implementation of a rollout.
#include "mangovane/rollout/rollout.hpp"

#include <algorithm>
#include <utility>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

namespace
{

/// A number from 0 to 1 that is the same for the same key and order.
double position_of(std::uint64_t key, const rollout_order& order)
{
    constexpr unsigned unused_bits = 11; // A double has 53 significant bits.
    constexpr double scale = 1.0 / 9007199254740992.0;
    const auto salt = hash_combine(order.revision.era, order.revision.number);
    return static_cast<double>(hash_combine(key, salt) >> unused_bits) * scale;
}

rollout_reason reason_of(version_defect defect)
{
    return defect == version_defect::slow ? rollout_reason::slowness : rollout_reason::failures;
}

} // namespace

rollout::rollout(rollout_order order, const rollout_policy& policy, time_point now)
    : order_{std::move(order)}, policy_{policy}, schedule_{policy.canary_share},
      deadline_{now + order_.duration}, share_{schedule_.step(0).share}, stepped_at_{now}
{}

double rollout::share() const noexcept
{
    if (state_ == rollout_state::running)
    {
        return share_;
    }
    return state_ == rollout_state::done ? 1 : 0;
}

version_side rollout::choose_side(std::uint64_t key, bool repeated) noexcept
{
    const auto part = share();
    credit_.earn(part);
    if (part >= 1)
    {
        return version_side::ordered;
    }
    const bool selected = !repeated && position_of(key, order_) < part;
    return selected && credit_.try_spend() ? version_side::ordered : version_side::current;
}

void rollout::on_started(version_side side) noexcept
{
    running_at_current_ += side == version_side::current ? 1 : 0;
}

void rollout::on_ended(version_side side) noexcept
{
    const bool counted = side == version_side::current && running_at_current_ != 0;
    running_at_current_ -= counted ? 1 : 0;
}

void rollout::on_response(std::uint64_t route,
                          version_side side,
                          bool failed,
                          milliseconds first_byte,
                          endpoint_id endpoint)
{
    evidence_.on_response(route, side, failed, first_byte, endpoint);
}

std::optional<rollout_event>
rollout::on_report(instance_id from, const rollout_report& report, time_point now)
{
    if (!is_same_write(report.order, order_.revision) || report.version != order_.version)
    {
        return std::nullopt;
    }
    peers_[from] = {now, report.moved, report.running_at_current};
    evidence_.on_report(from, report);
    deadline_ = std::min(deadline_, report.deadline);
    return report.state == rollout_state::running ? std::nullopt
                                                  : end(report.state, rollout_reason::peer_verdict);
}

std::optional<rollout_event> rollout::on_stored(rollout_state state, time_point deadline)
{
    deadline_ = std::min(deadline_, deadline);
    return state == rollout_state::running ? std::nullopt
                                           : end(state, rollout_reason::stored_status);
}

std::optional<rollout_event> rollout::end(rollout_state state, rollout_reason reason)
{
    const bool overruled = state_ == rollout_state::rolled_back && state == rollout_state::done;
    if (state_ != rollout_state::running && !overruled)
    {
        return std::nullopt;
    }
    state_ = state;
    return rollout_event{state, reason, share(), {}};
}

std::optional<rollout_event> rollout::tick(const rollout_surroundings& around, time_point now)
{
    if (state_ != rollout_state::running)
    {
        return std::nullopt;
    }
    evidence_.update();
    auto event = find_defect(around);
    return event ? event : advance(around, now);
}

std::optional<rollout_event> rollout::find_defect(const rollout_surroundings& around)
{
    const auto verdict = evidence_.verdict(around.ordered_endpoints);
    if (verdict.defect == version_defect::none)
    {
        return std::nullopt;
    }
    auto event = end(rollout_state::rolled_back, reason_of(verdict.defect));
    event->verdict = verdict;
    return event;
}

std::optional<rollout_event> rollout::advance(const rollout_surroundings& around, time_point now)
{
    if (moved())
    {
        return std::nullopt;
    }
    const bool late = fraction(now) >= share_schedule::full_until;
    const bool due = schedule_.step_due(fraction(now)) > step_;
    const bool usable = around.ordered_endpoints != 0;
    // Where there are few requests, good responses without a defect must do, if they outweigh the
    // bad ones.
    const bool sound =
        evidence_.confirmed() || (late && evidence_.good_ordered() != 0 &&
                                  evidence_.favours_usual_rates() && !is_isolated(around, now));
    if (due && usable && sound)
    {
        take_step(late ? share_schedule::step_count - 1 : step_ + 1, now);
        return rollout_event{state_, rollout_reason::scheduled, share(), {}};
    }
    if (!late || is_isolated(around, now))
    {
        return std::nullopt;
    }
    return end(rollout_state::rolled_back,
               usable ? rollout_reason::no_evidence : rollout_reason::no_endpoint);
}

void rollout::take_step(std::size_t step, time_point now)
{
    step_ = step;
    stepped_at_ = now;
    const auto largest =
        moved() ? 1 : share_schedule::largest_share(policy_, request_rate(now), order_.duration);
    share_ = std::max(share_, std::min(schedule_.step(step).share, largest));
    evidence_.restart_confirmation();
}

double rollout::request_rate(time_point now) const
{
    const auto current = evidence_.counts(version_side::current);
    const auto ordered = evidence_.counts(version_side::ordered);
    const auto responses = current.good + current.failed + ordered.good + ordered.failed;
    const std::chrono::duration<double> passed = order_.duration - (deadline_ - now);
    return passed.count() <= 0 ? 0 : static_cast<double>(responses) / passed.count();
}

double rollout::fraction(time_point now) const noexcept
{
    const std::chrono::duration<double> left = deadline_ - now;
    const std::chrono::duration<double> all = order_.duration;
    return all.count() <= 0 ? 1 : 1 - left / all;
}

bool rollout::heard(instance_id peer, time_point now) const
{
    const auto it = peers_.find(peer);
    return it != peers_.end() && now < it->second.reported_at + report_ttl;
}

bool rollout::is_isolated(const rollout_surroundings& around, time_point now) const
{
    return !around.live_peers.empty() &&
           std::none_of(around.live_peers.begin(), around.live_peers.end(),
                        [&](instance_id it) { return heard(it, now); });
}

bool rollout::can_complete(const rollout_surroundings& around, time_point now) const
{
    if (state_ != rollout_state::running || !moved() || now < stepped_at_ + settle_time)
    {
        return false;
    }
    if (now >= deadline_ - write_margin)
    {
        return true;
    }
    const auto is_clear = [&](instance_id it)
    {
        const auto found = peers_.find(it);
        return !heard(it, now) || (found->second.moved && found->second.running_at_current == 0);
    };
    return running_at_current_ == 0 &&
           std::all_of(around.live_peers.begin(), around.live_peers.end(), is_clear);
}

rollout_report rollout::report() const
{
    return {order_.service,
            order_.revision,
            order_.version,
            state_,
            deadline_,
            moved() || state_ == rollout_state::done,
            running_at_current_,
            evidence_.own_routes(),
            evidence_.own_bad_endpoints()};
}

} // namespace mangovane

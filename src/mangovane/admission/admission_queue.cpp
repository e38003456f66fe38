// Implementation of the admission queue.
#include "mangovane/admission/admission_queue.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "mangovane/core/hash.hpp"

namespace mangovane
{

namespace
{

/// Room that is earned and not used is kept up to this many requests.
constexpr double max_earned = 2;

/// How strongly requests above the service's slots hold back others.
constexpr double excess_weight = 4;

/// A service without completions is taken to complete at least this, for estimates.
constexpr double min_completions_per_s = 0.1;

duration seconds_of(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{value});
}

} // namespace

void admission_queue::earn(const admission_room& room, time_point now)
{
    const std::chrono::duration<double> passed = now - counted_at_;
    counted_at_ = std::max(counted_at_, now);
    // Less is earned while the endpoints hold more than they can process, until they do not.
    const double excess = std::max(0.0, -room.free) / std::max(1.0, room.slots);
    const double part = room.share * std::max(0.0, 1 - excess_weight * excess);
    const double added = std::max(0.0, passed.count()) * room.completions_per_s * part;
    earned_ = std::min(max_earned, earned_ + added);
}

bool admission_queue::try_spend(double& known) noexcept
{
    // A completion adds to both kinds of room, so known room uses up what was earned.
    const bool enough = known >= 1 || earned_ >= 1;
    known -= known >= 1 ? 1 : 0;
    earned_ -= enough ? std::min(1.0, earned_) : 0;
    return enough;
}

bool admission_queue::precedes(const admission_request& lhs,
                               const admission_request& rhs,
                               time_point now) const
{
    if (lhs.urgency != rhs.urgency)
    {
        return lhs.urgency < rhs.urgency;
    }
    if (lhs.account != rhs.account)
    {
        const auto used = usage_.of(lhs.account, now);
        const auto other = usage_.of(rhs.account, now);
        if (used != other)
        {
            return used < other;
        }
    }
    if (lhs.returned != rhs.returned)
    {
        return lhs.returned;
    }
    return std::tuple{lhs.arrived_at, lhs.ticket} < std::tuple{rhs.arrived_at, rhs.ticket};
}

std::uint8_t admission_queue::least_urgent_kind() const
{
    std::uint8_t result = 0;
    for (const auto& it : waiting_)
    {
        result = std::max(result, it.urgency);
    }
    return result;
}

admission_queue::position admission_queue::next(time_point now)
{
    const auto kind = least_urgent_kind();
    const bool floor_due = released_ + 1 >= floor_interval;
    return std::min_element(waiting_.begin(), waiting_.end(),
                            [&](const admission_request& lhs, const admission_request& rhs)
                            {
                                const bool first = lhs.urgency == kind;
                                const bool decided = floor_due && first != (rhs.urgency == kind);
                                return decided ? first : precedes(lhs, rhs, now);
                            });
}

std::size_t admission_queue::places_for(const admission_request& request) const
{
    const bool most_urgent =
        std::all_of(waiting_.begin(), waiting_.end(),
                    [&](const admission_request& it) { return request.urgency <= it.urgency; });
    return policy_.max_waiting - (most_urgent ? policy_.max_waiting / floor_interval : 0);
}

admission_queue::position admission_queue::displaceable(const admission_request& request)
{
    const auto floor_kind = least_urgent_kind();
    const auto kept = policy_.max_waiting / floor_interval;
    const auto of_kind = [&](std::uint8_t urgency)
    {
        return std::count_if(waiting_.begin(), waiting_.end(),
                             [&](const admission_request& it) { return it.urgency == urgency; });
    };
    const auto of_account = [&](account_id account)
    {
        return std::count_if(waiting_.begin(), waiting_.end(),
                             [&](const admission_request& it)
                             { return it.urgency == request.urgency && it.account == account; });
    };
    const bool floor_protected = of_kind(floor_kind) <= kept && floor_kind > request.urgency;
    auto result = waiting_.end();
    std::tuple<std::uint8_t, std::ptrdiff_t, time_point> worst{};
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it)
    {
        const bool kept_back = floor_protected && it->urgency == floor_kind;
        const bool same_kind = it->urgency == request.urgency;
        const auto more = same_kind ? of_account(it->account) - of_account(request.account) : 0;
        const bool displaces = it->urgency > request.urgency || (same_kind && more > 1);
        const std::tuple key{it->urgency, more, it->arrived_at};
        if (displaces && !kept_back && (result == waiting_.end() || key > worst))
        {
            result = it;
            worst = key;
        }
    }
    return result;
}

std::size_t admission_queue::count_before(const admission_request& request, time_point now) const
{
    std::size_t more_urgent = 0;
    std::size_t own = 0;
    absl::flat_hash_map<account_id, std::size_t> others;
    for (const auto& it : waiting_)
    {
        const bool same_kind = it.urgency == request.urgency;
        more_urgent += it.urgency < request.urgency ? 1 : 0;
        own += same_kind && it.account == request.account && precedes(it, request, now) ? 1 : 0;
        if (same_kind && it.account != request.account)
        {
            ++others[it.account];
        }
    }
    // Accounts take turns; one that has used less than the request's account goes first for a time.
    const double used = usage_.of(request.account, now);
    std::size_t same_kind = own;
    for (const auto& [account, count] : others)
    {
        const double turns =
            std::max(0.0, static_cast<double>(own) + used - usage_.of(account, now));
        same_kind += std::min(count, static_cast<std::size_t>(std::ceil(turns)));
    }
    const bool least_urgent = request.urgency >= least_urgent_kind();
    const auto by_floor = (same_kind + 1) * floor_interval;
    const auto by_order = more_urgent + same_kind;
    return least_urgent ? std::min(by_order, by_floor) : by_order;
}

time_point
admission_queue::expected_start(std::size_t ahead, const admission_room& room, time_point now) const
{
    const double rate = std::max(min_completions_per_s, room.completions_per_s * room.share);
    const double needed = static_cast<double>(ahead) + 1 - earned_;
    return now + seconds_of(std::max(0.0, needed) / rate);
}

admission_decision admission_queue::refusal(admission_reason reason,
                                            std::uint64_t ticket,
                                            const admission_room& room,
                                            time_point now) const
{
    constexpr std::uint64_t steps = 1024;
    const auto cleared = expected_start(waiting_.size(), room, now) - now;
    const auto delay = std::clamp<duration>(cleared, min_retry_delay, max_retry_delay);
    // Half to one and a half times the delay, so that callers do not return together.
    const auto part = static_cast<double>(hash_combine(seed_, ticket) % steps) / steps;
    const std::chrono::duration<double> spread =
        (0.5 + part) * std::chrono::duration<double>{delay};
    return {admission_verdict::refuse, reason, now + std::chrono::duration_cast<duration>(spread)};
}

void admission_queue::insert(const admission_request& request)
{
    waiting_.push_back(request);
    bytes_ += request.bytes;
}

admission_request admission_queue::take(position it)
{
    auto result = *it;
    waiting_.erase(it);
    bytes_ -= result.bytes;
    return result;
}

admission_decision admission_queue::refuse(const admission_request& request,
                                           admission_reason reason,
                                           const admission_room& room,
                                           time_point now)
{
    refused_.add(request.identity, now);
    return refusal(reason, request.ticket, room, now);
}

admission_decision
admission_queue::admit(const admission_request& request, const admission_room& room, time_point now)
{
    auto known = request;
    known.returned = request.returned || refused_.contains(request.identity, now);
    return decide(known, room, now);
}

admission_decision admission_queue::decide(const admission_request& request,
                                           const admission_room& room,
                                           time_point now)
{
    earn(room, now);
    double known = room.free * room.share;
    if (waiting_.empty() && try_spend(known))
    {
        usage_.charge(request.account, request.cost, now);
        return {};
    }
    if (expected_start(count_before(request, now), room, now) > request.start_by)
    {
        return refuse(request, admission_reason::too_late, room, now);
    }
    if (request.bytes > policy_.max_waiting_bytes)
    {
        return refuse(request, admission_reason::queue_full, room, now);
    }
    while (waiting_.size() >= places_for(request) ||
           bytes_ + request.bytes > policy_.max_waiting_bytes)
    {
        const auto it = displaceable(request);
        if (it == waiting_.end())
        {
            return refuse(request, admission_reason::queue_full, room, now);
        }
        const auto removed = take(it);
        displaced_.push_back(
            {removed.ticket, refuse(removed, admission_reason::displaced, room, now)});
    }
    insert(request);
    return {admission_verdict::wait, admission_reason::none, request.start_by};
}

std::vector<admission_outcome> admission_queue::release(const admission_room& room, time_point now)
{
    earn(room, now);
    auto result = std::exchange(displaced_, {});
    for (auto it = waiting_.begin(); it != waiting_.end();)
    {
        if (now <= it->start_by)
        {
            ++it;
            continue;
        }
        const auto at = it - waiting_.begin();
        const auto late = take(it);
        it = waiting_.begin() + at;
        result.push_back({late.ticket, refuse(late, admission_reason::too_late, room, now)});
    }
    double known = room.free * room.share;
    while (!waiting_.empty() && try_spend(known))
    {
        const auto kind = least_urgent_kind();
        const auto sent = take(next(now));
        released_ = sent.urgency == kind ? 0 : released_ + 1;
        usage_.charge(sent.account, sent.cost, now);
        result.push_back({sent.ticket, {}});
    }
    usage_.expire(now);
    return result;
}

std::vector<admission_outcome> admission_queue::release_all()
{
    auto result = std::exchange(displaced_, {});
    for (const auto& it : waiting_)
    {
        result.push_back({it.ticket, {}});
    }
    waiting_.clear();
    bytes_ = 0;
    return result;
}

admission_queue::position admission_queue::find(std::uint64_t ticket)
{
    return std::find_if(waiting_.begin(), waiting_.end(),
                        [&](const admission_request& it) { return it.ticket == ticket; });
}

std::optional<admission_decision>
admission_queue::expire(std::uint64_t ticket, const admission_room& room, time_point now)
{
    const auto it = find(ticket);
    if (it == waiting_.end())
    {
        return std::nullopt;
    }
    return refuse(take(it), admission_reason::too_late, room, now);
}

bool admission_queue::remove(std::uint64_t ticket)
{
    const auto it = find(ticket);
    if (it == waiting_.end())
    {
        return false;
    }
    take(it);
    return true;
}

} // namespace mangovane

// Implementation of the limit ledger and of the limit lease.
#include "mangovane/limits/limit_ledger.hpp"

#include <algorithm>
#include <cmath>

namespace mangovane
{

namespace
{

/// Largest number of tokens in the bucket; a rule without a burst keeps those of one second.
double bucket_capacity(const limit_rule& rule) noexcept
{
    const auto burst = rule.burst != 0 ? static_cast<double>(rule.burst) : rule.rate_per_s;
    return std::max(burst, 1.0);
}

/// Part of `total` for the instance of this rank; the parts sum to `total`.
std::uint32_t local_part(std::uint32_t total, std::size_t rank, std::size_t instances) noexcept
{
    const auto n = static_cast<std::uint32_t>(instances);
    return total / n + (rank < total % n ? 1U : 0U);
}

} // namespace

void concurrency_leases::add(std::uint32_t concurrency, time_point until)
{
    // A lease that is neither larger nor longer than an existing one has no effect.
    const auto covers = [](const lease& lhs, const lease& rhs)
    { return lhs.concurrency >= rhs.concurrency && lhs.until >= rhs.until; };
    const lease added{concurrency, until};
    if (std::any_of(leases_.begin(), leases_.end(),
                    [&](const lease& it) { return covers(it, added); }))
    {
        return;
    }
    leases_.erase(std::remove_if(leases_.begin(), leases_.end(),
                                 [&](const lease& it) { return covers(added, it); }),
                  leases_.end());
    leases_.push_back(added);
    std::sort(leases_.begin(), leases_.end(),
              [](const lease& lhs, const lease& rhs) { return lhs.until < rhs.until; });
}

std::uint32_t concurrency_leases::live(time_point now) const noexcept
{
    const auto it = std::find_if(leases_.begin(), leases_.end(),
                                 [now](const lease& entry) { return now < entry.until; });
    return it == leases_.end() ? 0 : it->concurrency;
}

time_point concurrency_leases::until() const noexcept
{
    return leases_.empty() ? time_point{} : leases_.back().until;
}

bool concurrency_leases::expire(time_point now)
{
    leases_.erase(std::remove_if(leases_.begin(), leases_.end(),
                                 [now](const lease& it) { return it.until <= now; }),
                  leases_.end());
    return leases_.empty();
}

limit_ledger::limit_ledger(time_point owned_since)
    : refilled_at_{owned_since}, lease_start_{owned_since + limit_lease_time}
{}

limit_grant limit_ledger::request(instance_id holder,
                                  const limit_request& msg,
                                  const limit_rule& rule,
                                  time_point now)
{
    refill(rule, now);
    limit_grant result;
    result.node = msg.node;
    result.tokens = take_tokens(msg.tokens, rule);
    result.concurrency = lease_concurrency(holder, msg.running, rule, now);
    result.lease_ms = static_cast<std::uint32_t>(limit_lease_time.count());
    return result;
}

void limit_ledger::refill(const limit_rule& rule, time_point now)
{
    if (now > refilled_at_)
    {
        const std::chrono::duration<double> elapsed = now - refilled_at_;
        tokens_ += rule.rate_per_s * elapsed.count();
        refilled_at_ = now;
    }
    tokens_ = std::min(tokens_, bucket_capacity(rule));
}

std::uint32_t limit_ledger::take_tokens(std::uint32_t wanted, const limit_rule& rule)
{
    if (rule.rate_per_s <= 0)
    {
        return wanted;
    }
    const auto result = std::min(wanted, static_cast<std::uint32_t>(tokens_));
    tokens_ -= result;
    return result;
}

std::uint32_t limit_ledger::lease_concurrency(instance_id holder,
                                              std::uint32_t wanted,
                                              const limit_rule& rule,
                                              time_point now)
{
    if (rule.concurrency == 0)
    {
        return wanted;
    }
    if (now < lease_start_)
    {
        return 0;
    }
    std::uint32_t others = 0;
    for (const auto& [id, leases] : holder_leases_)
    {
        others += id == holder ? 0 : leases.live(now);
    }
    const auto result = std::min(wanted, rule.concurrency - std::min(others, rule.concurrency));
    auto& own = holder_leases_[holder];
    own.expire(now);
    own.add(result, now + limit_lease_time);
    return result;
}

void limit_ledger::expire(time_point now)
{
    absl::erase_if(holder_leases_, [now](auto& it) { return it.second.expire(now); });
}

std::uint32_t limit_lease::tokens(time_point now) const noexcept
{
    return now < lease_until_ ? tokens_ : 0;
}

bool limit_lease::try_acquire(const limit_rule& rule, time_point now)
{
    const bool rated = rule.rate_per_s > 0;
    const bool token = !rated || tokens(now) != 0;
    const bool room = rule.concurrency == 0 || running_ < concurrency_.live(now);
    if (!token || !room)
    {
        ++refused_;
        return false;
    }
    tokens_ -= rated ? 1 : 0;
    ++running_;
    ++used_;
    return true;
}

void limit_lease::release() noexcept
{
    running_ -= running_ == 0 ? 0 : 1;
}

void limit_lease::on_grant(const limit_grant& msg, time_point requested_at)
{
    const auto until = requested_at + milliseconds{msg.lease_ms};
    // Remaining tokens are kept: they are fewer than the use of one `limit_request_interval`,
    // otherwise no request would have been sent.
    tokens_ = tokens(requested_at) + msg.tokens;
    lease_until_ = std::max(lease_until_, until);
    concurrency_.expire(requested_at);
    concurrency_.add(msg.concurrency, until);
    granted_in_full_ = msg.tokens >= requested_tokens_ && msg.concurrency >= requested_concurrency_;
}

std::uint32_t limit_lease::recent_use(time_point now) const noexcept
{
    const std::chrono::duration<double> elapsed = now - requested_at_;
    const std::chrono::duration<double> period = limit_request_interval;
    const auto part = std::min(period / std::max(elapsed, period), 1.0);
    return static_cast<std::uint32_t>(std::ceil(used_ * part)) + refused_;
}

bool limit_lease::may_request(time_point now) const noexcept
{
    return granted_in_full_ || now - requested_at_ >= limit_request_interval;
}

std::optional<limit_request> limit_lease::next_request(const limit_rule& rule, time_point now)
{
    const bool idle = running_ == 0 && used_ == 0 && refused_ == 0;
    const bool unlimited = rule.rate_per_s <= 0 && rule.concurrency == 0;
    if (idle || unlimited || !may_request(now))
    {
        return std::nullopt;
    }
    const auto need = std::max(recent_use(now), 1U);
    const bool short_of_tokens = rule.rate_per_s > 0 && used_ + refused_ != 0 && tokens(now) < need;
    const bool ends_soon = running_ != 0 && concurrency_.until() - now <= limit_lease_time / 2;
    const bool short_of_room =
        rule.concurrency != 0 && (running_ >= concurrency_.live(now) || ends_soon);
    if (!short_of_tokens && !short_of_room && refused_ == 0)
    {
        return std::nullopt;
    }
    requested_tokens_ = rule.rate_per_s > 0 ? need - std::min(tokens(now), need) : 0;
    requested_concurrency_ = rule.concurrency != 0 ? running_ + need : 0;
    requested_at_ = now;
    granted_in_full_ = false;
    used_ = 0;
    refused_ = 0;
    return limit_request{rule.node, requested_tokens_, requested_concurrency_};
}

void limit_lease::use_local_share(const limit_rule& rule,
                                  std::size_t rank,
                                  std::size_t instances,
                                  time_point now)
{
    if (rank >= instances || now < lease_until_)
    {
        return;
    }
    const std::chrono::duration<double> period = limit_lease_time;
    const auto rate = static_cast<std::uint32_t>(rule.rate_per_s * period.count());
    tokens_ = local_part(rate, rank, instances);
    lease_until_ = now + limit_lease_time;
    concurrency_.expire(now);
    concurrency_.add(local_part(rule.concurrency, rank, instances), lease_until_);
}

} // namespace mangovane

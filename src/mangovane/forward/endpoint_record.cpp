// Implementation of the endpoint record.
#include "mangovane/forward/endpoint_record.hpp"

#include <algorithm>

namespace mangovane
{

namespace
{

std::uint32_t saturating_sub(std::uint32_t from, std::uint32_t amount)
{
    return from > amount ? from - amount : 0;
}

} // namespace

void endpoint_record::rotate_period(time_point now) noexcept
{
    if (now < period_start_ + count_period)
    {
        return;
    }
    const bool next = now < period_start_ + 2 * count_period;
    previous_ = next ? current_ : attempt_counts{};
    current_ = {};
    period_start_ = now;
}

void endpoint_record::suspend(duration time, time_point now) noexcept
{
    suspended_until_ = std::max(suspended_until_, now + time);
}

void endpoint_record::on_finished(health_outcome outcome, time_point now) noexcept
{
    in_flight_ = saturating_sub(in_flight_, 1);
    rotate_period(now);
    switch (outcome)
    {
    case health_outcome::answered:
        ++current_.successes;
        next_suspension_ = first_suspension;
        suspended_until_ = {};
        break;
    case health_outcome::failed:
        ++current_.failures;
        break;
    case health_outcome::unreachable:
    case health_outcome::crashed:
        ++current_.failures;
        suspend(next_suspension_, now);
        next_suspension_ = std::min<duration>(next_suspension_ * 2, longest_suspension);
        break;
    case health_outcome::full:
        suspend(full_suspension, now);
        break;
    case health_outcome::replaced:
        suspend(replaced_suspension, now);
        break;
    case health_outcome::cancelled:
        break;
    }
}

void endpoint_record::on_notice(const endpoint_notice& notice,
                                incarnation epoch,
                                time_point now) noexcept
{
    if (notice.load)
    {
        on_incarnation(epoch);
        stated_ = notice.load;
        if (notice.load->work_percent != 0)
        {
            heard_speed_ = heard_speed_.with(100.0 / notice.load->work_percent, now);
        }
    }
    if (!notice.closing())
    {
        return;
    }
    if (epoch != notice_epoch_)
    {
        notice_epoch_ = epoch;
        leaving_ = false;
        closed_until_ = {};
    }
    leaving_ = leaving_ || notice.leaving;
    closed_until_ = std::max(closed_until_, notice.closed_until);
    notice_kept_until_ = std::max<time_point>(now + notice_ttl, closed_until_);
}

void endpoint_record::on_incarnation(incarnation epoch) noexcept
{
    if (epoch == load_epoch_)
    {
        return;
    }
    // Digests name no incarnation: what was reported before the first one is known is of that one.
    const bool first = load_epoch_ == 0;
    load_epoch_ = epoch;
    stated_.reset();
    heard_speed_ = {};
    reported_speed_ = first ? reported_speed_ : stated_speed{};
}

void endpoint_record::on_peer_speed(const endpoint_digest& digest, time_point now) noexcept
{
    if (digest.speed != 0)
    {
        const auto at = now - digest.speed_age * endpoint_digest::speed_age_unit;
        reported_speed_ = reported_speed_.newer({digest.speed * endpoint_digest::speed_unit, at});
    }
}

endpoint_load endpoint_record::known_load(time_point now) const noexcept
{
    endpoint_load result;
    result.own = in_flight_;
    result.others = peer_in_flight_;
    result.others_per_s = ended_per_s(peer_counts_);
    result.slots = stated_ ? stated_->slots : 0;
    result.speed = heard_speed_.newer(reported_speed_).expected(now);
    return result;
}

void endpoint_record::add_peer_digest(const endpoint_digest& digest) noexcept
{
    peer_in_flight_ += digest.in_flight;
    peer_counts_.failures += digest.failures;
    peer_counts_.successes += digest.successes;
}

void endpoint_record::remove_peer_digest(const endpoint_digest& digest) noexcept
{
    peer_in_flight_ = saturating_sub(peer_in_flight_, digest.in_flight);
    peer_counts_.failures = saturating_sub(peer_counts_.failures, digest.failures);
    peer_counts_.successes = saturating_sub(peer_counts_.successes, digest.successes);
}

bool endpoint_record::try_admit_cold(duration interval,
                                     duration first_wait,
                                     time_point now) noexcept
{
    // After two intervals without a request the endpoint counts as newly cold.
    const bool new_cold_period =
        cold_sent_at_ == time_point::min() || now >= cold_sent_at_ + 2 * interval;
    if (new_cold_period)
    {
        cold_sent_at_ = now - interval + first_wait;
    }
    if (now < cold_sent_at_ + interval)
    {
        return false;
    }
    cold_sent_at_ = now;
    return true;
}

attempt_counts endpoint_record::local_counts(time_point now) const noexcept
{
    if (now >= period_start_ + 2 * count_period)
    {
        return {};
    }
    if (now >= period_start_ + count_period)
    {
        return current_;
    }
    return {current_.failures + previous_.failures, current_.successes + previous_.successes};
}

attempt_counts endpoint_record::counts(time_point now) const noexcept
{
    const auto own = local_counts(now);
    return {own.failures + peer_counts_.failures, own.successes + peer_counts_.successes};
}

bool endpoint_record::is_removable(time_point now) const noexcept
{
    const bool cold = cold_sent_at_ != time_point::min() && now < cold_sent_at_ + cold_state_ttl;
    return load() == 0 && counts(now) == attempt_counts{} && !suspended(now) && !cold &&
           now >= notice_kept_until_;
}

} // namespace mangovane

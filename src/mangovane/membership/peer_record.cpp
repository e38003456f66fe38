// Implementation of the record of one member.
#include "mangovane/membership/peer_record.hpp"

#include <algorithm>
#include <array>
#include <compare>
#include <utility>

namespace mangovane::internal
{

namespace
{

/// Dead members are remembered longer than regions stay partitioned (an hour).
constexpr std::chrono::hours dead_retention{2};

/// Members that left are remembered longer than an old fact or the platform's list can name them.
constexpr std::chrono::minutes left_retention{10};

/// Place of a fact in the order in which facts supersede each other.
struct precedence
{
    incarnation epoch;
    bool left;
    std::uint32_t refutations;
    member_state state;

    auto operator<=>(const precedence&) const = default;
};

static_assert(member_state::alive < member_state::suspect &&
              member_state::suspect < member_state::dead);

precedence precedence_of(incarnation epoch, std::uint32_t refutations, member_state state)
{
    return {epoch, state == member_state::left, refutations, state};
}

} // namespace

peer_record::peer_record(member subject, std::uint32_t refutations)
    : subject_{std::move(subject)}, refutations_{refutations}
{}

bool peer_record::live() const noexcept
{
    return subject_.state == member_state::alive || subject_.state == member_state::suspect;
}

fact_effect
peer_record::merge(const member_update& fact, const detector_timing& timing, time_point now)
{
    const auto known = precedence_of(subject_.epoch, refutations_, subject_.state);
    const auto told = precedence_of(fact.epoch, fact.refutations, fact.state);
    if (told <= known)
    {
        const bool newer = fact.epoch == subject_.epoch && merge_settings(fact.settings);
        return newer ? fact_effect::settings : fact_effect::none;
    }
    const bool restarted = subject_.epoch != 0 && fact.epoch != subject_.epoch;
    const bool returned = fact.state == member_state::alive && (restarted || !live());
    enter(fact, timing, now);
    if (returned)
    {
        note_return(timing, now);
    }
    return returned ? fact_effect::returned : fact_effect::changed;
}

void peer_record::enter(const member_update& fact, const detector_timing& timing, time_point now)
{
    const bool was_live = live();
    if (subject_.epoch == 0)
    {
        leaving_epoch_ = fact.epoch;
    }
    if (fact.epoch != subject_.epoch)
    {
        knows_us = false;
        subject_.settings = {};
    }
    subject_.epoch = fact.epoch;
    subject_.state = fact.state;
    refutations_ = fact.refutations;
    merge_settings(fact.settings);
    if (!fact.address.empty())
    {
        subject_.name = fact.name;
        subject_.address = fact.address;
        subject_.domain = fact.domain;
    }
    if (fact.state == member_state::suspect)
    {
        suspect_until_ = now + timing.suspicion;
    }
    if (was_live && !live())
    {
        gone_since_ = now;
    }
}

bool peer_record::merge_settings(settings_stamp stamp)
{
    if (stamp.version <= subject_.settings.version)
    {
        return false;
    }
    subject_.settings = stamp;
    return true;
}

bool peer_record::suspect(const detector_timing& timing, time_point now)
{
    if (subject_.state != member_state::alive)
    {
        return false;
    }
    subject_.state = member_state::suspect;
    suspect_until_ = now + timing.suspicion;
    return true;
}

bool peer_record::expire_suspicion(time_point now)
{
    if (subject_.state != member_state::suspect || now < suspect_until_)
    {
        return false;
    }
    subject_.state = member_state::dead;
    gone_since_ = now;
    return true;
}

void peer_record::postpone(duration excess)
{
    suspect_until_ += excess;
}

void peer_record::refute(const member_update& fact, const detector_timing& timing, time_point now)
{
    if (fact.epoch > subject_.epoch || fact.state == member_state::left)
    {
        // A former process of this name had a clock ahead of ours; below its incarnation nobody
        // would hear this instance.
        subject_.epoch = fact.epoch + 1;
        refutations_ = 0;
        return;
    }
    refutations_ = fact.refutations + 1;
    if (fact.state == member_state::dead)
    {
        // The others count this as a return, so this instance damps itself with them.
        note_return(timing, now);
    }
}

void peer_record::set_left(time_point now)
{
    subject_.state = member_state::left;
    gone_since_ = now;
}

void peer_record::set_listed_leaving(bool leaving)
{
    if (leaving && !listed_leaving_)
    {
        leaving_epoch_ = subject_.epoch;
    }
    listed_leaving_ = leaving;
}

void peer_record::note_return(const detector_timing& timing, time_point now)
{
    std::erase_if(returns_, [&](time_point it) { return now - it > timing.flap_window; });
    returns_.push_back(now);
    if (returns_.size() > timing.flap_limit)
    {
        damped_until_ = now + timing.damping;
    }
}

bool peer_record::eligible(time_point now) const
{
    const bool leaving = listed_leaving_ && leaving_epoch_ == subject_.epoch;
    return live() && !leaving && now >= damped_until_;
}

bool peer_record::matches(const member& entry, time_point now) const
{
    return entry.id == subject_.id && entry.epoch == subject_.epoch &&
           entry.state == subject_.state && entry.eligible == eligible(now) &&
           entry.domain == subject_.domain && entry.address == subject_.address &&
           entry.name == subject_.name;
}

time_point peer_record::forgotten_after() const
{
    const bool left = subject_.state == member_state::left;
    return gone_since_ + (left ? duration{left_retention} : duration{dead_retention});
}

bool peer_record::forgotten(time_point now) const
{
    return !live() && now > forgotten_after();
}

time_point peer_record::next_change(time_point now) const
{
    auto result = time_point::max();
    if (subject_.state == member_state::suspect)
    {
        result = suspect_until_;
    }
    else if (!live())
    {
        result = forgotten_after();
    }
    return damped_until_ > now ? std::min(result, damped_until_) : result;
}

member peer_record::in_view(time_point now) const
{
    auto result = subject_;
    result.eligible = eligible(now);
    return result;
}

member_update peer_record::fact(bool whole) const
{
    member_update result{subject_.id, subject_.epoch, refutations_, subject_.state};
    result.settings = subject_.settings;
    if (whole || subject_.state == member_state::alive)
    {
        result.name = subject_.name;
        result.address = subject_.address;
        result.domain = subject_.domain;
    }
    return result;
}

} // namespace mangovane::internal

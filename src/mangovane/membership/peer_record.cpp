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

/// A network partition is assumed to last at most one hour; records of dead members must outlive
/// it, so that the two sides find each other again.
constexpr std::chrono::hours dead_retention{2};

/// Records of members that left are kept for longer than an old update or the platform's list can
/// still name them.
constexpr std::chrono::minutes left_retention{10};

/// Rank of an update: the higher one supersedes the lower.
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

update_effect
peer_record::merge(const member_update& update, const detector_timing& timing, time_point now)
{
    const auto known = precedence_of(subject_.epoch, refutations_, subject_.state);
    const auto received = precedence_of(update.epoch, update.refutations, update.state);
    if (received <= known)
    {
        const bool newer = update.epoch == subject_.epoch && merge_settings(update.settings);
        return newer ? update_effect::settings : update_effect::none;
    }
    const bool restarted = subject_.epoch != 0 && update.epoch != subject_.epoch;
    const bool returned = update.state == member_state::alive && (restarted || !live());
    assign(update, timing, now);
    if (returned)
    {
        record_flap(timing, now);
    }
    return returned ? update_effect::returned : update_effect::changed;
}

void peer_record::assign(const member_update& update, const detector_timing& timing, time_point now)
{
    const bool was_live = live();
    if (subject_.epoch == 0)
    {
        leaving_epoch_ = update.epoch;
    }
    if (update.epoch != subject_.epoch)
    {
        introduced = false;
        subject_.settings = {};
    }
    subject_.epoch = update.epoch;
    subject_.state = update.state;
    refutations_ = update.refutations;
    merge_settings(update.settings);
    if (!update.address.empty())
    {
        subject_.name = update.name;
        subject_.address = update.address;
        subject_.domain = update.domain;
    }
    if (update.state == member_state::suspect)
    {
        suspect_until_ = now + timing.suspicion;
    }
    if (was_live && !live())
    {
        down_since_ = now;
    }
}

bool peer_record::merge_settings(settings_stamp stamp)
{
    if (!stamp.newer_than(subject_.settings))
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
    down_since_ = now;
    return true;
}

void peer_record::postpone(duration excess)
{
    suspect_until_ += excess;
}

void peer_record::refute(const member_update& update, const detector_timing& timing, time_point now)
{
    if (update.epoch > subject_.epoch || update.state == member_state::left)
    {
        // An earlier process of the same name had a clock ahead of this one. The members would
        // ignore all updates of this instance with a lower incarnation.
        subject_.epoch = update.epoch + 1;
        refutations_ = 0;
        return;
    }
    refutations_ = update.refutations + 1;
    if (update.state == member_state::dead)
    {
        // The other members count this as a return, so this instance has to damp itself as they do.
        record_flap(timing, now);
    }
}

void peer_record::set_left(time_point now)
{
    subject_.state = member_state::left;
    down_since_ = now;
}

void peer_record::set_listed_leaving(bool leaving)
{
    if (leaving && !listed_leaving_)
    {
        leaving_epoch_ = subject_.epoch;
    }
    listed_leaving_ = leaving;
}

void peer_record::record_flap(const detector_timing& timing, time_point now)
{
    std::erase_if(flaps_, [&](time_point it) { return now - it > timing.flap_window; });
    flaps_.push_back(now);
    if (flaps_.size() > timing.flap_limit)
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

time_point peer_record::retention_end() const
{
    const bool left = subject_.state == member_state::left;
    return down_since_ + (left ? duration{left_retention} : duration{dead_retention});
}

bool peer_record::expired(time_point now) const
{
    return !live() && now > retention_end();
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
        result = retention_end();
    }
    return damped_until_ > now ? std::min(result, damped_until_) : result;
}

member peer_record::to_member(time_point now) const
{
    auto result = subject_;
    result.eligible = eligible(now);
    return result;
}

member_update peer_record::to_update(bool with_address) const
{
    member_update result{subject_.id, subject_.epoch, refutations_, subject_.state};
    result.settings = subject_.settings;
    if (with_address || subject_.state == member_state::alive)
    {
        result.name = subject_.name;
        result.address = subject_.address;
        result.domain = subject_.domain;
    }
    return result;
}

} // namespace mangovane::internal

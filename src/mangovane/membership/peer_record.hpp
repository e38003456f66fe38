// What an instance knows about one member, and the rules by which facts supersede each other.
#ifndef MANGOVANE_MEMBERSHIP_PEER_RECORD_HPP
#define MANGOVANE_MEMBERSHIP_PEER_RECORD_HPP

#include <cstdint>
#include <vector>

#include "mangovane/membership/member_table.hpp"

namespace mangovane::internal
{

/// Effect of a fact on a record.
enum class update_effect : std::uint8_t
{
    none,     ///< Not newer than what is known.
    settings, ///< Only the settings stamp is newer.
    changed,
    returned, ///< The member is alive again after it was dead, or has restarted.
};

class peer_record
{
public:
    /// A member known from its own fact, or from the platform's list (incarnation 0).
    peer_record(member subject, std::uint32_t refutations);

    [[nodiscard]] const member& subject() const noexcept { return subject_; }
    [[nodiscard]] member_state state() const noexcept { return subject_.state; }
    [[nodiscard]] std::uint32_t refutations() const noexcept { return refutations_; }

    /// Alive or suspect.
    [[nodiscard]] bool live() const noexcept;

    /// Only the platform's list names it so far.
    [[nodiscard]] bool unverified() const noexcept { return subject_.epoch == 0; }

    /// Takes over a fact if it supersedes what is known: the higher incarnation; inside one, `left`
    /// before all, then the higher number of refutations, then dead before suspect before alive.
    update_effect merge(const member_update& update, const detector_timing& timing, time_point now);

    /// Takes over a settings stamp if it is newer. Returns whether it is.
    bool merge_settings(settings_stamp stamp);

    /// Suspects a member that did not acknowledge; nothing when it is not alive.
    bool suspect(const detector_timing& timing, time_point now);

    /// Declares a suspect dead when its suspicion has lasted long enough.
    bool expire_suspicion(time_point now);

    /// Time in which this process did not run does not count against a suspect.
    void postpone(duration excess);

    /// Raises this instance's own number over a fact that is wrong about it.
    void refute(const member_update& update, const detector_timing& timing, time_point now);

    /// Marks this instance as having left.
    void set_left(time_point now);

    /// Takes the platform's mark of a leaving instance. It holds for the incarnation known when the
    /// mark first appeared, because the list may still carry it after a restart.
    void set_listed_leaving(bool leaving);

    /// The entry in a view.
    [[nodiscard]] member in_view(time_point now) const;

    /// Whether the entry in a view is still right, its settings stamp aside.
    [[nodiscard]] bool matches(const member& entry, time_point now) const;

    /// Whether it has been gone for so long that the record can be dropped.
    [[nodiscard]] bool expired(time_point now) const;

    /// When the passage of time alone changes the record next; `time_point::max()` when it doesn't.
    [[nodiscard]] time_point next_change(time_point now) const;

    /// The fact to spread. Names and addresses travel only with `alive`, unless `whole` is set.
    [[nodiscard]] member_update to_update(bool whole) const;

    time_point last_message_at{};   ///< Last message that came directly from it.
    bool introduced{false};         ///< It acknowledged a probe that introduced this instance.
    std::size_t table_position{0};  ///< Position of the next record of the table to send to it.
    std::size_t table_remaining{0}; ///< Records still to send to it after it joined.

private:
    [[nodiscard]] time_point retention_end() const;
    [[nodiscard]] bool eligible(time_point now) const;
    void record_flap(const detector_timing& timing, time_point now);
    void assign(const member_update& update, const detector_timing& timing, time_point now);

    member subject_; ///< `eligible` is computed for each view.
    std::uint32_t refutations_{0};
    time_point suspect_until_{};
    time_point down_since_{};
    time_point damped_until_{};
    std::vector<time_point> flaps_; ///< Inside the flap window, oldest first.
    bool listed_leaving_{false};
    incarnation leaving_epoch_{0};
};

} // namespace mangovane::internal

#endif

// Record of one member, and the rules by which membership updates supersede each other.
#ifndef MANGOVANE_MEMBERSHIP_PEER_RECORD_HPP
#define MANGOVANE_MEMBERSHIP_PEER_RECORD_HPP

#include <cstdint>
#include <vector>

#include "mangovane/membership/member_table.hpp"

namespace mangovane::internal
{

/// Effect of an update on a record.
enum class update_effect : std::uint8_t
{
    none,     ///< The update is not newer than the record.
    settings, ///< Only the settings stamp is newer.
    changed,
    returned, ///< The member is alive again after it was dead, or has restarted.
};

/// State of one member as this instance has it. Not thread-safe.
class peer_record
{
public:
    /// `subject` comes from a membership update, or from the platform's list (incarnation 0).
    peer_record(member subject, std::uint32_t refutations);

    [[nodiscard]] const member& subject() const noexcept { return subject_; }
    [[nodiscard]] member_state state() const noexcept { return subject_.state; }
    [[nodiscard]] std::uint32_t refutations() const noexcept { return refutations_; }

    /// Alive or suspect.
    [[nodiscard]] bool live() const noexcept;

    /// Whether only the platform's list has named the member so far.
    [[nodiscard]] bool unverified() const noexcept { return subject_.epoch == 0; }

    /// Applies an update if it supersedes the record. Order of precedence: the higher incarnation;
    /// within one, `left`, then the higher number of refutations, then dead, suspect and alive.
    update_effect merge(const member_update& update, const detector_timing& timing, time_point now);

    /// Stores a settings stamp if it is newer; returns whether it is.
    bool merge_settings(settings_stamp stamp);

    /// Marks a member that did not acknowledge as suspect; returns false when it is not alive.
    bool suspect(const detector_timing& timing, time_point now);

    /// Marks a suspect as dead when its suspicion has expired; returns whether it has.
    bool expire_suspicion(time_point now);

    /// Time in which this process did not run does not count against a suspect.
    void postpone(duration excess);

    /// Refutes a wrong update about this instance: raises its own incarnation or its number of
    /// refutations above the update's.
    void refute(const member_update& update, const detector_timing& timing, time_point now);

    /// Marks this instance as having left.
    void set_left(time_point now);

    /// Sets the platform's mark of a leaving instance. The mark applies to the incarnation that was
    /// known when it first appeared, because the list may still carry it after a restart.
    void set_listed_leaving(bool leaving);

    /// The member's entry for a view.
    [[nodiscard]] member to_member(time_point now) const;

    /// Whether the entry of a view still matches the record, apart from its settings stamp.
    [[nodiscard]] bool matches(const member& entry, time_point now) const;

    /// Whether the member has been dead or left for so long that the record can be dropped.
    [[nodiscard]] bool expired(time_point now) const;

    /// When the next timer of the record expires; `time_point::max()` when none is running.
    [[nodiscard]] time_point next_change(time_point now) const;

    /// The update to gossip. It has the name, address and domain only when the member is alive or
    /// `with_address` is set.
    [[nodiscard]] member_update to_update(bool with_address) const;

    time_point last_message_at{};   ///< Time of its last direct message.
    bool introduced{false};         ///< It has acknowledged this instance's name and address.
    std::size_t table_position{0};  ///< Next record of the table transfer to it.
    std::size_t table_remaining{0}; ///< Records left in the table transfer to it.

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
    std::vector<time_point> flaps_; ///< Returns within the flap window, oldest first.
    bool listed_leaving_{false};
    incarnation leaving_epoch_{0};
};

} // namespace mangovane::internal

#endif

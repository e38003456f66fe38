// State of the failure detector: member records, pending probes and updates to gossip. Not
// thread-safe; `member_table` locks it.
#ifndef MANGOVANE_MEMBERSHIP_FAILURE_DETECTOR_HPP
#define MANGOVANE_MEMBERSHIP_FAILURE_DETECTOR_HPP

#include <cstdint>
#include <vector>

#include <absl/container/btree_map.h>
#include <absl/container/flat_hash_map.h>

#include "mangovane/membership/member_table.hpp"
#include "mangovane/membership/peer_record.hpp"
#include "mangovane/membership/probe_schedule.hpp"
#include "mangovane/membership/update_queue.hpp"

namespace mangovane::internal
{

/// SWIM failure detector with suspicion, refutation and flap damping. `member_table` documents the
/// public functions.
class failure_detector
{
public:
    failure_detector(member self, detector_timing timing, std::uint64_t seed);

    outgoing_messages on_probe(instance_id from, const probe& msg, time_point now);
    outgoing_messages on_probe_ack(instance_id from, const probe_ack& msg, time_point now);
    outgoing_messages on_probe_request(instance_id from, const probe_request& msg, time_point now);
    void on_platform_list(const std::vector<listed_instance>& list, time_point now);
    outgoing_messages tick(time_point now);
    outgoing_messages leave(time_point now);
    void set_settings_stamp(settings_stamp stamp);
    [[nodiscard]] const view_ptr& view() const noexcept { return view_; }
    [[nodiscard]] settings_stamp newest_settings_stamp(instance_id& holder) const;

private:
    /// A probe that has been sent and is not acknowledged yet.
    struct pending_probe
    {
        instance_id subject;
        time_point indirect_at;
        time_point suspect_at;
        bool indirect_requested{false};
        instance_id relay_to; ///< Member that requested this indirect probe; empty: none.
        std::uint64_t relay_sequence{0}; ///< Sequence of that member's request.
    };

    // Membership updates (failure_detector.cpp).
    /// Returns whether the sender's record of this instance wrongly says that it is not alive.
    /// `table`: the updates are part of a table transfer.
    bool apply_updates(const std::vector<member_update>& updates, bool table, time_point now);
    void apply_update(const member_update& update, bool table, time_point now);
    void add_member(const member_update& update, bool table, time_point now);
    bool apply_update_about_self(const member_update& update, time_point now);
    /// Records a direct message. `behind`: the sender has an outdated record of this instance.
    void record_contact(instance_id from, settings_stamp settings, bool behind, time_point now);
    void add_listed(instance_id id,
                    const std::string& name,
                    const std::string& address,
                    domain_id domain);
    void start_table_transfer(instance_id to);
    void complete_probe(const probe_ack& msg, outgoing_messages& out);
    void record_settings_stamp(instance_id holder, settings_stamp stamp);
    /// Updates to piggyback on the next message to a member.
    [[nodiscard]] std::vector<member_update> updates_for(instance_id to);
    /// Whether the peer must be sent its own update, so that it can refute it.
    [[nodiscard]] bool can_refute(const peer_record& peer) const;

    // Probes (failure_detector_tick.cpp).
    [[nodiscard]] probe make_probe(instance_id to, std::uint64_t sequence);
    [[nodiscard]] probe_ack make_ack(instance_id to, std::uint64_t sequence, instance_id subject);
    void resume_after_pause(time_point now);
    void start_probe(instance_id subject, time_point now, outgoing_messages& out);
    void probe_next(time_point now, outgoing_messages& out);
    void probe_dead_member(outgoing_messages& out);
    [[nodiscard]] std::vector<instance_id> dead_peers() const;
    [[nodiscard]] std::optional<instance_id> next_subject();
    void check_pending(time_point now, outgoing_messages& out);
    void
    request_indirect_probes(std::uint64_t sequence, instance_id subject, outgoing_messages& out);
    void expire_records(time_point now);
    void announce_settings(outgoing_messages& out);
    void send_tables(outgoing_messages& out);
    void send_table_part(peer_record& peer, outgoing_messages& out);
    void
    send_updates(instance_id to, const std::vector<member_update>& batch, outgoing_messages& out);
    [[nodiscard]] std::vector<instance_id> live_peers() const;
    [[nodiscard]] peer_record* find(instance_id id);

    // Views (failure_detector_view.cpp).
    /// Whether the view matches the records. Scans them only when one of them may have changed.
    [[nodiscard]] bool check_view(time_point now);
    /// Publishes a new view if a record has changed. `extend`: prolongs its validity, too.
    void refresh_view(time_point now, bool extend);
    [[nodiscard]] bool in_view(const peer_record& record) const;
    [[nodiscard]] bool view_is_current(time_point now) const;
    [[nodiscard]] std::vector<member> view_members(time_point now) const;

    const detector_timing timing_;
    const instance_id self_id_;
    absl::btree_map<instance_id, peer_record> records_;     ///< Always contains `self_id_`.
    absl::btree_map<std::uint64_t, pending_probe> pending_; ///< By sequence.
    update_queue updates_;
    probe_schedule schedule_;
    probe_schedule dead_schedule_;
    random_sequence random_;
    std::uint64_t sequence_{0};
    settings_stamp newest_stamp_;  ///< Newest settings stamp received from any member.
    bool joining_{true};           ///< No member has sent its table yet.
    bool announcement_due_{false}; ///< `newest_stamp_` has risen and is not announced yet.
    bool tables_to_send_{false};   ///< A record may have `table_remaining` > 0.
    bool records_changed_{true};   ///< Since the last scan by `check_view`; except stamps.
    bool stamps_changed_{false};   ///< A settings stamp is newer than in the view.
    time_point next_change_{};     ///< No record's timer expires before this.
    time_point last_tick_{};
    time_point next_probe_{};
    time_point next_dead_probe_{};
    time_point next_extension_{};
    view_ptr view_;
};

} // namespace mangovane::internal

#endif

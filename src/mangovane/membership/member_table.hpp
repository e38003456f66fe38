// The failure detector of one instance: SWIM with suspicion, fed by probes and the platform's list.
// One aggregate under one lock: it is small, and every change yields a new immutable view.
#ifndef MANGOVANE_MEMBERSHIP_MEMBER_TABLE_HPP
#define MANGOVANE_MEMBERSHIP_MEMBER_TABLE_HPP

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "mangovane/membership/view.hpp"
#include "mangovane/message/message.hpp"

namespace mangovane
{

/// Times of the failure detector.
struct detector_timing
{
    milliseconds probe_period{500};
    milliseconds probe_timeout{250};  ///< Then the probe is repeated through other members.
    milliseconds suspicion{2000};     ///< From suspect to dead unless refuted.
    milliseconds view_validity{2000}; ///< A view older than this is not acted on.
    milliseconds flap_window{30000};
    std::uint32_t flap_limit{2}; ///< Returns inside the window before a member is damped.
    milliseconds damping{10000};

    bool operator==(const detector_timing&) const = default;
};

/// One row of the platform's lagging list of entry instances.
struct listed_instance
{
    std::string name;
    std::string address;
    domain_id domain;
    bool leaving{false};

    bool operator==(const listed_instance&) const = default;
};

namespace internal
{
class failure_detector;
} // namespace internal

class member_table
{
public:
    /// The first view expires at once: it becomes valid with the first `tick`.
    member_table(member self, detector_timing timing, std::uint64_t seed);
    ~member_table();
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;

    /// Handles a message of the failure detector; returns what has to be sent.
    std::vector<outgoing_message> on_probe(instance_id from, const probe& msg, time_point now);
    std::vector<outgoing_message>
    on_probe_ack(instance_id from, const probe_ack& msg, time_point now);
    std::vector<outgoing_message>
    on_probe_request(instance_id from, const probe_request& msg, time_point now);

    /// Adds unknown instances and marks leaving ones; never overrides a fresher incarnation.
    void on_platform_list(const std::vector<listed_instance>& list, time_point now);

    /// Sends due probes, expires suspicions and damping. Called at least each 100 ms.
    std::vector<outgoing_message> tick(time_point now);

    /// Announces that this instance leaves; returns messages for several members at once.
    std::vector<outgoing_message> leave(time_point now);

    /// Version of the settings to announce.
    void set_settings(settings_stamp stamp);

    /// The view in force. The pointer changes only when the view's content or validity changes.
    /// Settings stamps of members are refreshed with the validity.
    [[nodiscard]] view_ptr view() const;

    /// The newest settings version that a live member announced, and who has it. Of several
    /// holders, the one heard from last; this instance itself when no other has a newer version.
    [[nodiscard]] settings_stamp newest_settings(instance_id& holder) const;

private:
    mutable std::mutex mutex_;
    std::unique_ptr<internal::failure_detector> detector_; ///< Never null. Guarded by `mutex_`.
};

} // namespace mangovane

#endif

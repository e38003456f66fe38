// Membership of one instance: a SWIM failure detector with suspicion that takes probes and the
// platform's list as input. One aggregate under one lock, as it is small; every change yields a new
// immutable view.
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

/// Timing of the failure detector.
struct detector_timing
{
    milliseconds probe_period{500};
    milliseconds probe_timeout{250};  ///< After this the member is probed indirectly.
    milliseconds suspicion{2000};     ///< Time from suspect to dead unless refuted.
    milliseconds view_validity{2000}; ///< Lifetime of a view that is not refreshed.
    milliseconds flap_window{30000};  ///< Period in which returns are counted.
    std::uint32_t flap_limit{2};      ///< Returns within the window before a member is damped.
    milliseconds damping{10000};      ///< Time for which a damped member is not eligible.

    bool operator==(const detector_timing&) const = default;
};

/// Entry of the platform's list of instances, which lags behind their actual state.
struct listed_instance
{
    std::string name;
    std::string address; ///< `ip:port` of the interface between instances.
    domain_id domain;
    bool leaving{false};

    bool operator==(const listed_instance&) const = default;
};

namespace internal
{
class failure_detector;
} // namespace internal

/// Thread-safe facade of the failure detector.
class member_table
{
public:
    /// The first view is expired; it becomes valid with the first `tick`.
    member_table(member self, detector_timing timing, std::uint64_t seed);
    ~member_table();
    member_table(const member_table&) = delete;
    member_table& operator=(const member_table&) = delete;

    /// Handles a message of the failure detector; returns the messages to send.
    std::vector<outgoing_message> on_probe(instance_id from, const probe& msg, time_point now);
    std::vector<outgoing_message>
    on_probe_ack(instance_id from, const probe_ack& msg, time_point now);
    std::vector<outgoing_message>
    on_probe_request(instance_id from, const probe_request& msg, time_point now);

    /// Adds unknown instances and marks leaving ones; never overrides a newer incarnation.
    void on_platform_list(const std::vector<listed_instance>& list, time_point now);

    /// Returns due probes, and expires suspicions and damping. Call at least every 100 ms.
    std::vector<outgoing_message> tick(time_point now);

    /// Marks this instance as left; returns messages that announce it to several members.
    std::vector<outgoing_message> leave(time_point now);

    /// Sets the version of the settings that this instance announces.
    void set_settings_stamp(settings_stamp stamp);

    /// The current view. The pointer changes only with the content or the validity of the view.
    /// Settings stamps of members are refreshed together with the validity.
    [[nodiscard]] view_ptr view() const;

    /// The newest settings version announced by a live member, and in `holder` a member that has
    /// it: of several, the one whose message was received last; this instance itself when no other
    /// has a newer version.
    [[nodiscard]] settings_stamp newest_settings_stamp(instance_id& holder) const;

private:
    mutable std::mutex mutex_;
    std::unique_ptr<internal::failure_detector> detector_; ///< Never null. Guarded by `mutex_`.
};

} // namespace mangovane

#endif

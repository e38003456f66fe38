// One rollout of a service: which requests go to the ordered version, and how it ends.
//
// Every instance decides by itself, from the order, the time and the responses that all instances
// have seen. The share of the ordered version follows a schedule and rises only while there is
// evidence for a sound version. Evidence against it ends the rollout at once.
#ifndef MANGOVANE_ROLLOUT_ROLLOUT_HPP
#define MANGOVANE_ROLLOUT_ROLLOUT_HPP

#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/message/rollout.hpp"
#include "mangovane/rollout/fleet_evidence.hpp"
#include "mangovane/rollout/rollout_policy.hpp"
#include "mangovane/rollout/share_credit.hpp"
#include "mangovane/rollout/share_schedule.hpp"
#include "mangovane/settings/rollout_order.hpp"

namespace mangovane
{

/// What the instance knows around a rollout when it decides.
struct rollout_surroundings
{
    std::uint32_t ordered_endpoints{0}; ///< Endpoints of the ordered version that can be used.
    std::uint32_t current_endpoints{0}; ///< Other endpoints of the service that can be used.
    /// Other instances that are alive. One of them that has sent no report for `report_ttl` is not
    /// waited for.
    std::vector<instance_id> live_peers;

    bool operator==(const rollout_surroundings&) const = default;
};

/// Names of the states in logs and metrics.
inline constexpr std::array<std::string_view, rollout_state_count> rollout_state_names{
    "running", "done", "rolled_back"};

/// Why a rollout took a step or ended, for the log.
enum class rollout_reason : std::uint8_t
{
    scheduled,     ///< The next step was due and the evidence allows it.
    failures,      ///< The ordered version fails more often.
    slowness,      ///< The ordered version is slower.
    no_endpoint,   ///< The ordered version has no endpoint that can be used.
    no_evidence,   ///< It is too late to move the traffic, for lack of evidence.
    peer_verdict,  ///< Another instance has found the end.
    stored_status, ///< The store has a final status.
    in_force,      ///< The ordered version was in force already.
};

inline constexpr std::size_t rollout_reason_count = 8;

/// A step or the end of a rollout, for the log.
struct rollout_event
{
    rollout_state state{rollout_state::running};
    rollout_reason reason{rollout_reason::scheduled};
    double share{0};         ///< From now on.
    version_verdict verdict; ///< Only for `failures` and `slowness`.

    auto operator<=>(const rollout_event&) const = default;
};

/// Not thread-safe.
class rollout
{
public:
    rollout(rollout_order order, const rollout_policy& policy, time_point now);

    [[nodiscard]] const rollout_order& order() const noexcept { return order_; }
    [[nodiscard]] rollout_state state() const noexcept { return state_; }

    /// Current share of the ordered version, 0 to 1.
    [[nodiscard]] double share() const noexcept;

    /// The version for a request; counts the request as sent to the service. The same `key` gets
    /// the same version as long as the share allows it. A request that has been at an endpoint
    /// before (`repeated`) stays with the version in force while not all traffic has moved.
    [[nodiscard]] version_side choose_side(std::uint64_t key, bool repeated) noexcept;

    /// A request starts or ends at an endpoint of a version.
    void on_started(version_side side) noexcept;
    void on_ended(version_side side) noexcept;

    /// Counts a complete response; see `fleet_evidence::on_response`. Not for responses of
    /// endpoints that are still warming up.
    void on_response(std::uint64_t route,
                     version_side side,
                     bool failed,
                     milliseconds first_byte,
                     endpoint_id endpoint);

    /// Merges the report of another instance; returns the end of the rollout if it brings it.
    [[nodiscard]] std::optional<rollout_event>
    on_report(instance_id from, const rollout_report& report, time_point now);

    /// The store has this status for the order, with the time at which it is due.
    [[nodiscard]] std::optional<rollout_event> on_stored(rollout_state state, time_point deadline);

    /// The ordered version was the only one in force when the order came.
    [[nodiscard]] std::optional<rollout_event> complete_in_force()
    {
        return end(rollout_state::done, rollout_reason::in_force);
    }

    /// Takes a due step or finds the end. Call several times a second.
    [[nodiscard]] std::optional<rollout_event> tick(const rollout_surroundings& around,
                                                    time_point now);

    /// Whether the status `done` is to be written now: nothing that matters runs at the version in
    /// force before the order. Only a status that has been written completes the rollout.
    [[nodiscard]] bool can_complete(const rollout_surroundings& around, time_point now) const;

    /// What this instance has seen, for the others.
    [[nodiscard]] rollout_report report() const;

    [[nodiscard]] const fleet_evidence& evidence() const noexcept { return evidence_; }
    [[nodiscard]] time_point deadline() const noexcept { return deadline_; }

    /// A report that is not renewed for this long no longer counts as of a live instance.
    static constexpr milliseconds report_ttl{4000};

    /// Time after the last step in which all instances learn of it and of what still runs.
    static constexpr milliseconds settle_time{1000};

    /// Time before the deadline that is kept for writing the status.
    static constexpr milliseconds write_margin{600};

private:
    /// What another instance reported last.
    struct peer_state
    {
        time_point reported_at;
        bool moved{false};
        std::uint32_t running_at_current{0};
    };

    /// Requests per second of the service since the order, over all instances.
    [[nodiscard]] double request_rate(time_point now) const;
    void take_step(std::size_t step, time_point now);

    /// Fraction of the duration that has passed.
    [[nodiscard]] double fraction(time_point now) const noexcept;
    [[nodiscard]] std::optional<rollout_event> find_defect(const rollout_surroundings& around);
    [[nodiscard]] std::optional<rollout_event> advance(const rollout_surroundings& around,
                                                       time_point now);
    [[nodiscard]] std::optional<rollout_event> end(rollout_state state, rollout_reason reason);
    /// Whether other instances are alive and none of them has reported.
    [[nodiscard]] bool is_isolated(const rollout_surroundings& around, time_point now) const;
    [[nodiscard]] bool heard(instance_id peer, time_point now) const;
    [[nodiscard]] bool moved() const noexcept { return step_ + 1 == share_schedule::step_count; }

    rollout_order order_;
    rollout_policy policy_;
    share_schedule schedule_;
    time_point deadline_; ///< Only decreases: the first instance that saw the order knows best.
    /// Final once it is not `running`, except that `done`, which is stored first, overrules a
    /// verdict of this instance that came too late: the endpoints of the other version have
    /// stopped.
    rollout_state state_{rollout_state::running};
    std::size_t step_{0}; ///< Of the schedule; never decreases.
    double share_{0};     ///< While it is running; never decreases.
    time_point stepped_at_;
    share_credit credit_;
    std::uint32_t running_at_current_{0};
    fleet_evidence evidence_;
    absl::flat_hash_map<instance_id, peer_state> peers_;
};

} // namespace mangovane

#endif

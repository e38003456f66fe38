// The rollouts of all services at one instance.
#ifndef MANGOVANE_ROLLOUT_ROLLOUT_REGISTRY_HPP
#define MANGOVANE_ROLLOUT_ROLLOUT_REGISTRY_HPP

#include <array>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/rollout/rollout.hpp"
#include "mangovane/rollout/service_versions.hpp"
#include "mangovane/rollout/version_choice.hpp"

namespace mangovane
{

/// An event of a rollout, for the log.
struct rollout_log_entry
{
    rollout_order order;
    rollout_event event;

    auto operator<=>(const rollout_log_entry&) const = default;
};

/// A rollout as it stands, for metrics and for the status in the store.
struct rollout_summary
{
    rollout_order order;
    rollout_state state{rollout_state::running};
    double share{0};
    time_point deadline;
    /// Whether a running rollout is to be written as done.
    bool completable{false};
    std::vector<route_answers> sums;
    response_counts current; ///< Over all routes.
    response_counts ordered; ///< Over all routes.

    auto operator<=>(const rollout_summary&) const = default;
};

/// Thread-safe; sharded by service. Does nothing while the policy is not enabled: all versions are
/// permitted, and nothing is counted or reported.
class rollout_registry
{
public:
    explicit rollout_registry(const rollout_policy& policy) : policy_{policy} {}

    [[nodiscard]] bool enabled() const noexcept { return policy_.enabled(); }

    /// Takes the orders of the settings in force. A service whose order is gone returns to its
    /// version in force.
    void set_orders(const std::vector<rollout_order>& orders, time_point now);

    /// Takes the listed endpoints of a service.
    void observe(service_id service, const version_counts& listed, time_point now);

    /// Versions for a request, which is counted as sent to the service; see
    /// `rollout::choose_side`.
    [[nodiscard]] version_choice
    choose(service_id service, std::uint64_t key, bool repeated, time_point now);

    /// What `choose` would return now, without counting the request.
    [[nodiscard]] version_choice
    preview(service_id service, std::uint64_t key, bool repeated, time_point now);

    /// An attempt starts or ends, whether or not a rollout is running: requests that were sent
    /// before an order must have ended before the endpoints of their version stop.
    void on_started(const version_attempt& attempt);
    void on_ended(const version_attempt& attempt);

    /// Counts what an attempt has shown; see `fleet_evidence::on_response`.
    void on_response(const version_attempt& attempt, const version_response& response);

    /// Merges the report of another instance. An instance that has missed the end is told again.
    void on_report(instance_id from, const rollout_report& report, time_point now);

    /// The store has a status for an order; ignored for any other order than the one in force.
    void on_stored(service_id service,
                   store_revision order,
                   rollout_state state,
                   time_point deadline,
                   time_point now);

    /// Orders whose rollout is running.
    [[nodiscard]] std::vector<rollout_order> running();

    /// Takes a due step of a service's rollout or finds its end.
    void tick(service_id service, const rollout_surroundings& around, time_point now);

    /// Reports to send now to the instances of the own domain or to the others.
    [[nodiscard]] std::vector<rollout_report> take_due_reports(bool same_domain, time_point now);

    /// Events since the last call, at most `max_log_entries`.
    [[nodiscard]] std::vector<rollout_log_entry> take_log();

    [[nodiscard]] std::vector<rollout_summary> summaries();

    /// Reports are sent for this long after the end, for instances that were cut off or paused.
    static constexpr milliseconds report_after_end{10'000};

    static constexpr std::size_t max_log_entries = 256;

private:
    struct running_rollout
    {
        rollout state;
        bool completable{false};         ///< As of the last tick.
        time_point report_until;         ///< Max while it is running.
        std::array<time_point, 2> due{}; ///< Next reports to other domains and to the own one.
    };

    struct service_entry
    {
        service_versions versions;
        absl::btree_map<std::string, std::uint32_t> attempts; ///< Running, by version; no zeros.
        std::optional<running_rollout> current; ///< Of the order in force; also after its end.
    };

    void set_order(service_entry& entry, const rollout_order& order, time_point now);
    [[nodiscard]] static version_side side_of(const rollout& state, const std::string& version);
    static void remove_order(service_entry& entry);

    /// Puts the end of a rollout into force, if the event is one, and logs the event.
    void apply(service_entry& entry, const std::optional<rollout_event>& event, time_point now);
    [[nodiscard]] static version_choice
    choose_for(service_entry& entry, std::uint64_t key, bool repeated, time_point now);
    [[nodiscard]] static version_choice
    choose_in_rollout(service_entry& entry, std::uint64_t key, bool repeated);

    const rollout_policy policy_;
    sharded_map<service_id, service_entry> services_;
    std::mutex log_mutex_;               ///< May be taken under the lock of a shard.
    std::vector<rollout_log_entry> log_; ///< Guarded by `log_mutex_`.
};

} // namespace mangovane

#endif

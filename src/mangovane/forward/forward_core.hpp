// The decisions of one instance that forwards requests by routes: what it believes of settings,
// endpoints and other instances, and which endpoint a request goes to. It knows no sockets, clock
// or randomness.
#ifndef MANGOVANE_FORWARD_FORWARD_CORE_HPP
#define MANGOVANE_FORWARD_FORWARD_CORE_HPP

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "mangovane/forward/endpoint_chooser.hpp"
#include "mangovane/forward/endpoint_tracker.hpp"
#include "mangovane/forward/feed_distributor.hpp"
#include "mangovane/forward/fleet_size.hpp"
#include "mangovane/forward/local_retry_budget.hpp"
#include "mangovane/forward/placement_rule.hpp"
#include "mangovane/forward/prefix_locations.hpp"
#include "mangovane/routing/instance_state.hpp"
#include "mangovane/routing/message_sink.hpp"
#include "mangovane/routing/settings_spread.hpp"

namespace mangovane
{

/// Limits that hold over all instances together.
struct fleet_policy
{
    load_bound bound;
    retry_budget_policy retries;
    double cold_overshoot{1.5}; ///< Multiple of the rate that a cold endpoint bears.
    double cold_tolerance{5};   ///< Requests beyond that in a second.

    auto operator<=>(const fleet_policy&) const = default;
};

struct forward_options
{
    member self;
    detector_timing timing;
    fleet_policy fleet;
    std::uint64_t seed{1};

    bool operator==(const forward_options&) const = default;
};

class forward_core final : public endpoint_chooser
{
public:
    /// The sink outlives it. The parser reads settings that come from other instances.
    forward_core(forward_options options,
                 message_sink& sink,
                 settings_parser parser,
                 time_point now);

    /// Puts settings in force if they are newer.
    adopt_result adopt_settings(settings_ptr settings, time_point now);

    /// What the registry of endpoints says. After a change, `refresh` puts it in force.
    [[nodiscard]] endpoint_catalog& catalog() noexcept { return catalog_; }

    /// Puts changes of the catalog in force and tells other instances of what is new.
    void refresh(time_point now);

    /// Whether this instance has to read the store now, for itself and others.
    [[nodiscard]] bool should_read_store(time_point now) const { return feed_.should_read(now); }

    /// Instances that the outside names; they are probed.
    void on_instance_list(const std::vector<listed_instance>& instances, time_point now);

    void on_message(instance_id from, const message& msg, time_point now);

    /// Runs the timers of all parts. Called at least each 100 ms.
    void tick(time_point now);

    /// Announces that this instance leaves. Running requests go on.
    void leave(time_point now);

    /// Counts a request that was accepted.
    void on_accepted(const forward_request& request);

    [[nodiscard]] std::optional<dispatch_target> choose(const forward_request& request,
                                                        std::span<const endpoint_id> excluded,
                                                        time_point now) override;
    void finish(endpoint_id endpoint, health_outcome end, time_point now) override;
    [[nodiscard]] bool try_retry(service_id service, time_point now) override;

    [[nodiscard]] instance_state& state() noexcept { return state_; }
    [[nodiscard]] endpoint_tracker& tracker() noexcept { return tracker_; }
    [[nodiscard]] settings_ptr settings() { return state_.settings().current(); }
    [[nodiscard]] view_ptr view() const { return state_.view(); }

private:
    /// Loads of the endpoints of a service.
    struct service_scene
    {
        std::vector<placement_candidate>
            options;         ///< Endpoints that take new work, tried ones aside.
        double mean_load{0}; ///< Over all listed endpoints.
    };

    /// The digest that was sent last.
    struct sent_digest
    {
        load_digest content;
        time_point at{};
    };

    /// The reader of the domain is asked first; others only when its answer does not come.
    static constexpr milliseconds settings_pause{1000};

    static constexpr milliseconds digest_period{200};
    static constexpr milliseconds digest_renewal{1000}; ///< Also without a change.

    /// Bytes between domains have a price: beyond this size of the fleet, the period of digests to
    /// other domains grows with it.
    static constexpr std::size_t fleet_of_full_rate = 30;
    static constexpr milliseconds expire_period{1000};

    /// Time after its cold start in which an endpoint may lack prefixes that others still hold.
    static constexpr seconds young_time{15};

    /// An endpoint is avoided when it failed as often recently, and more often than the others.
    static constexpr std::uint32_t least_failures = 3;
    static constexpr double failing_part = 0.3;
    static constexpr double failing_excess = 2.0; ///< Multiple of the others' part.

    /// Part of what a cold endpoint bears that the instances' shares add up to: requests sent apart
    /// may arrive together.
    static constexpr double cold_part = 0.6;

    using handler = void (forward_core::*)(instance_id, const message&, time_point);

    template <class... Messages>
    static constexpr auto make_table(const std::variant<Messages...>*);
    template <class Message>
    void dispatch(instance_id from, const message& msg, time_point now);

    [[nodiscard]] service_scene look_at(const routing_table& routes,
                                        service_id service,
                                        std::span<const endpoint_id> excluded,
                                        time_point now);

    /// Marks the options that fail more often than the others, from the recent attempts of each.
    static void mark_avoided(std::vector<placement_candidate>& options,
                             const std::vector<attempt_counts>& counts);
    [[nodiscard]] bool is_cold(const endpoint_info& endpoint, time_point now);
    [[nodiscard]] bool
    admit(const routing_table& routes, const placement_candidate& option, time_point now);
    void
    note_returned(const settings_snapshot& before, const settings_snapshot& after, time_point now);
    [[nodiscard]] duration cold_spacing(const service_policy& service) const;
    /// Address of an endpoint that should hold the request's prefix, or its first part, if the
    /// chosen one may lack it.
    [[nodiscard]] std::string prefix_source(const routing_table& routes,
                                            const forward_request& request,
                                            const endpoint_info& chosen,
                                            time_point now);

    /// The endpoint at which a prefix is expected, of those that have been warm for a while.
    [[nodiscard]] const endpoint_info*
    expected_holder(const routing_table& routes, const forward_request& request, time_point now);

    /// The endpoint that was sent a prefix last, other than the chosen one; null when it is not
    /// known, not listed or suspended.
    [[nodiscard]] const endpoint_info* last_holder(const routing_table& routes,
                                                   std::uint64_t prefix,
                                                   const endpoint_info& chosen,
                                                   time_point now);
    void send(const outgoing_messages& list);
    void send_digest(time_point now);
    [[nodiscard]] bool take_digest_turn(bool near, const load_digest& digest, time_point now);

    const forward_options options_;
    message_sink& sink_;
    instance_state state_;
    settings_spread spread_;
    endpoint_catalog catalog_;
    feed_distributor feed_;
    endpoint_tracker tracker_;
    prefix_locations prefixes_;
    local_retry_budget retries_;
    fleet_size size_;
    std::mutex mutex_;
    absl::flat_hash_map<domain_id, time_point>
        cold_domains_;        ///< Domains that were out, and until when they are cold. Guarded by
                              ///< `mutex_`.
    sent_digest near_digest_; ///< To members of the own domain. Guarded by `mutex_`.
    sent_digest far_digest_;  ///< To members of other domains. Guarded by `mutex_`.
    time_point expired_at_{}; ///< Guarded by `mutex_`.
    std::atomic<std::uint64_t> choices_{0}; ///< Makes the chance of each choice its own.
};

} // namespace mangovane

#endif

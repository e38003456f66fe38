// Decision logic of an instance that forwards requests by routes: its view of settings, endpoints
// and other instances, and the choice of an endpoint for each request. Uses no sockets, clock or
// random source.
#ifndef MANGOVANE_FORWARD_FORWARD_CORE_HPP
#define MANGOVANE_FORWARD_FORWARD_CORE_HPP

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "mangovane/admission/admission_gate.hpp"
#include "mangovane/admission/response_times.hpp"
#include "mangovane/forward/choice_explanation.hpp"
#include "mangovane/forward/domain_reachability.hpp"
#include "mangovane/forward/endpoint_chooser.hpp"
#include "mangovane/forward/endpoint_departures.hpp"
#include "mangovane/forward/endpoint_tracker.hpp"
#include "mangovane/forward/feed_distributor.hpp"
#include "mangovane/forward/fleet_size.hpp"
#include "mangovane/forward/live_instances.hpp"
#include "mangovane/forward/local_retry_budget.hpp"
#include "mangovane/forward/placement_mode.hpp"
#include "mangovane/forward/placement_rule.hpp"
#include "mangovane/forward/prefix_locations.hpp"
#include "mangovane/quarantine/prompt_quarantine.hpp"
#include "mangovane/rollout/rollout_registry.hpp"
#include "mangovane/routing/instance_state.hpp"
#include "mangovane/routing/message_sink.hpp"
#include "mangovane/routing/settings_sync.hpp"

namespace mangovane
{

/// Limits on the sum over all instances.
struct fleet_policy
{
    load_bound bound; ///< On the load of one endpoint.
    retry_budget_policy retries;
    /// Limit of a cold endpoint over all instances, in requests per second:
    /// `cold_requests_per_s * cold_rate_factor + cold_rate_extra`.
    double cold_rate_factor{1.5};
    double cold_rate_extra{5}; ///< Requests per second.
    placement_mode placement{placement_mode::least_loaded};

    auto operator<=>(const fleet_policy&) const = default;
};

struct forward_options
{
    member self;
    detector_timing timing;
    fleet_policy fleet;
    std::uint64_t seed{1};
    rollout_policy rollouts;
    admission_policy admission;
    /// How long an endpoint goes on serving after it has announced that it leaves.
    milliseconds endpoint_drain{2000};

    bool operator==(const forward_options&) const = default;
};

/// Decisions of an instance that forwards by routes; the choice of endpoints is in
/// forward_core_choice.cpp, admission in forward_core_room.cpp. `coordinator` takes this role at an
/// instance whose endpoints have owners that grant slots.
class forward_core final : public endpoint_chooser
{
public:
    /// The sink must outlive the core. The parser reads settings received from other instances.
    forward_core(forward_options options,
                 message_sink& sink,
                 settings_parser parser,
                 time_point now);

    /// Applies settings if they are newer than those in force.
    adopt_result adopt_settings(settings_ptr settings, time_point now);

    /// The catalog of registered endpoints. `refresh` applies its changes.
    [[nodiscard]] endpoint_catalog& catalog() noexcept { return catalog_; }

    /// Applies changes of the catalog and sends them to other instances.
    void refresh(time_point now);

    /// Whether this instance must read the store now, for itself and for others.
    [[nodiscard]] bool should_read_store(time_point now) const { return feed_.should_read(now); }

    /// List of instances from outside the fleet, such as seeds or a registry; they are probed.
    void on_instance_list(const std::vector<listed_instance>& instances, time_point now);

    /// Handles a message of another instance.
    void on_message(instance_id from, const message& msg, time_point now);

    /// Runs the timers. Call at least every 100 ms.
    void tick(time_point now);

    /// Announces that this instance leaves the fleet. Running requests continue.
    void leave(time_point now);

    /// Counts an accepted request; it earns a share of the retry budget.
    void on_accepted(const forward_request& request);

    [[nodiscard]] admission_answer ask_admission(const forward_request& request,
                                                 time_point now) override;
    void
    on_wait_ended(const forward_request& request, std::uint64_t ticket, time_point now) override;
    [[nodiscard]] admission_decision
    expire_wait(const forward_request& request, std::uint64_t ticket, time_point now) override;
    void on_delivered(const forward_request& request, duration time) override;

    /// Requests of all services whose wait for admission ends now. Call at short intervals while
    /// requests wait.
    [[nodiscard]] std::vector<admission_outcome> release_waiting(time_point now);

    /// Room of a service over its endpoints that accept requests and are not avoided. Endpoints of
    /// all versions count: while a rollout runs, the room may seem larger than it is.
    [[nodiscard]] service_room room_of(service_id service, time_point now);
    [[nodiscard]] admission_gate& admission() noexcept { return admission_; }

    [[nodiscard]] dispatch_choice choose(const forward_request& request,
                                         std::span<const endpoint_id> excluded,
                                         choice_purpose purpose,
                                         time_point now) override;
    /// What `choose` would do with the request now, and what it would be based on. Has no effect on
    /// any choice.
    [[nodiscard]] choice_explanation explain(const forward_request& request, time_point now);

    void finish(endpoint_id endpoint, health_outcome outcome, time_point now) override;
    void on_version_ended(const version_attempt& attempt,
                          const std::optional<version_response>& response,
                          time_point now) override;
    void on_tokens_released(endpoint_id endpoint, const token_counts& tokens) override;
    /// Records what an endpoint, in the incarnation that was chosen, stated about itself.
    void on_notice(const dispatch_target& target, const endpoint_notice& notice, time_point now);

    /// Until when an endpoint, in an incarnation, goes on serving although it leaves; empty: it is
    /// not known to leave.
    [[nodiscard]] std::optional<time_point> serves_until(endpoint_id endpoint, incarnation epoch)
    {
        return departures_.serves_until(endpoint, epoch);
    }

    void on_survived(const forward_request& request, time_point now) override;
    [[nodiscard]] bool on_crash(const forward_request& request,
                                endpoint_id endpoint,
                                incarnation epoch,
                                time_point now) override;
    [[nodiscard]] bool try_retry(service_id service, time_point now) override;

    [[nodiscard]] instance_state& state() noexcept { return state_; }
    [[nodiscard]] rollout_registry& rollouts() noexcept { return rollouts_; }
    [[nodiscard]] prompt_quarantine& quarantine() noexcept { return quarantine_; }
    [[nodiscard]] endpoint_tracker& tracker() noexcept { return tracker_; }
    [[nodiscard]] settings_ptr settings() { return state_.settings().current(); }
    [[nodiscard]] view_ptr view() const { return state_.view(); }

private:
    /// Endpoints of a service with their loads. Reused for several choices: `clear` keeps the
    /// memory of the lists.
    struct candidate_set
    {
        /// Endpoints that accept new requests and are not excluded.
        std::vector<placement_candidate> candidates;
        std::vector<attempt_counts> counts; ///< Recent attempts of each candidate.
        double others_per_s{0}; ///< Requests that other instances send to the candidates.
        double mean_load{0};    ///< Mean number of requests in flight over all listed endpoints.
        /// When the first of the endpoints that have closed for a time opens again; max: none has.
        time_point reopens_at{time_point::max()};

        void clear()
        {
            candidates.clear();
            counts.clear();
            others_per_s = 0;
            mean_load = 0;
            reopens_at = time_point::max();
        }

        /// Removes the candidates that a replacement must not go to.
        void keep_unavoided(std::uint32_t allowed)
        {
            std::erase_if(candidates, [&](const placement_candidate& it)
                          { return it.avoided || !it.can_hold || it.load >= allowed; });
        }
    };

    /// The set of the calling thread, empty. One choice at a time uses it.
    [[nodiscard]] static candidate_set& empty_candidate_set();

    /// The last digest sent.
    struct sent_digest
    {
        load_digest content;
        time_point at{};
    };

    /// Minimum time between two settings queries. The reader of the domain is queried first, others
    /// only when it does not answer.
    static constexpr milliseconds settings_query_interval{1000};

    static constexpr milliseconds digest_period{200};

    /// A digest is resent after this time even without a change.
    static constexpr milliseconds digest_refresh_period{1000};

    /// Traffic between domains is billed: above this number of instances, the period of digests to
    /// other domains grows in proportion to the fleet.
    static constexpr std::size_t full_rate_fleet_size = 30;
    static constexpr milliseconds expire_period{1000};

    /// While there is evidence against prompt parts, all of it is sent this often to as many other
    /// instances, for those that were started, paused or cut off when it was found.
    static constexpr milliseconds quarantine_summary_period{500};
    static constexpr std::size_t quarantine_summary_fanout = 2;

    /// Time after the end of its cold period during which an endpoint may lack prefixes that others
    /// still hold.
    static constexpr seconds recently_cold_time{15};

    /// An endpoint is avoided when it has this many recent failures, at this failure rate, and
    /// fails at this multiple of the failure rate of the other endpoints.
    static constexpr std::uint32_t min_failures = 3;
    static constexpr double min_failure_rate = 0.3;
    static constexpr double min_failure_ratio = 2.0;

    /// The instances' shares sum to this fraction of the permitted rate of a cold endpoint. The
    /// margin covers requests that were sent at intervals but arrive in a burst.
    static constexpr double cold_safety_factor = 0.6;

    using handler = void (forward_core::*)(instance_id, const message&, time_point);

    template <class... Messages>
    static constexpr auto make_handler_table(const std::variant<Messages...>*);
    template <class Message>
    void dispatch(instance_id from, const message& msg, time_point now);

    /// Which endpoints a choice is among.
    struct candidate_query
    {
        const forward_request& request;
        const version_set& versions;
        std::span<const endpoint_id> excluded;
        bool evenly{false}; ///< The even rules choose.
    };

    /// Why an endpoint is no candidate.
    [[nodiscard]] static exclusion exclusion_of(const routing_table& routes,
                                                const candidate_query& query,
                                                const endpoint_info& endpoint,
                                                const endpoint_record& record,
                                                time_point now);

    /// Fills an empty set with the endpoints of the service, of these versions, that can be chosen.
    void collect_candidates(candidate_set& result,
                            const routing_table& routes,
                            const candidate_query& query,
                            time_point now);

    /// An endpoint with what it was chosen from.
    struct chosen_endpoint
    {
        placement_candidate candidate;
        std::uint32_t allowed{0}; ///< Load bound.
        std::uint32_t eligible{0};
    };

    /// Collects the endpoints into an empty set and chooses one of them.
    [[nodiscard]] std::optional<chosen_endpoint> choose_among(candidate_set& eligible,
                                                              const routing_table& routes,
                                                              const candidate_query& query,
                                                              choice_purpose purpose,
                                                              std::uint64_t tie_break_seed,
                                                              admission_filter admit,
                                                              time_point now);

    /// What a search over versions has found.
    struct search_result
    {
        std::optional<chosen_endpoint> chosen;
        const version_set* versions{nullptr}; ///< The last ones that were searched.
        /// When the first closed endpoint opens again; max: unknown.
        time_point reopens_at{time_point::max()};

        /// If there is no chosen endpoint.
        [[nodiscard]] choice_refusal refusal() const
        {
            const auto at = reopens_at == time_point::max() ? time_point{} : reopens_at;
            return {error_kind::no_endpoint, at, {}};
        }
    };

    /// Chooses among the endpoints of the first versions that have one, and leaves the last
    /// candidates in `eligible`. `next_count` numbers the tries and so gives each its own tie-break
    /// seed.
    [[nodiscard]] search_result search(candidate_set& eligible,
                                       const routing_table& routes,
                                       const forward_request& request,
                                       const version_choice& versions,
                                       std::span<const endpoint_id> excluded,
                                       choice_purpose purpose,
                                       absl::FunctionRef<std::uint64_t()> next_count,
                                       admission_filter admit,
                                       time_point now);

    /// The rule that chooses for a request.
    [[nodiscard]] static const placement_rule& rule_for(const candidate_query& query) noexcept;

    /// Whether no endpoint of the service can hold the request's tokens, not even alone.
    [[nodiscard]] bool is_too_large(const routing_table& routes,
                                    const forward_request& request) const;

    /// Requests that others have sent to the candidates since their digests, as estimated.
    [[nodiscard]] double unreported_at(const candidate_set& set, time_point now);

    /// What `ask_admission` would be based on; nothing where it sends every request.
    [[nodiscard]] std::optional<explained_admission> explain_admission(service_id service,
                                                                       time_point now);

    /// Makes the list of an explanation.
    void describe_endpoints(choice_explanation& result,
                            const routing_table& routes,
                            const candidate_query& query,
                            const candidate_set& eligible,
                            time_point now);

    /// Whether the even rules choose for a request.
    [[nodiscard]] bool spreads_evenly(bool has_prefix) const noexcept;

    /// Tokens that an endpoint of the service can hold; 0: unknown, or not counted.
    [[nodiscard]] std::uint64_t token_capacity(const routing_table& routes,
                                               service_id service) const;

    /// Load of an endpoint as this instance knows it.
    [[nodiscard]] endpoint_load
    load_of(const routing_table& routes, const endpoint_info& endpoint, time_point now);

    /// The number of live instances, with this one.
    [[nodiscard]] std::uint32_t count_live() const;
    /// Whether an instance has been lost that has not left on its own.
    [[nodiscard]] bool has_lost_member() const;

    /// The endpoint's state if it accepts requests and is not suspended; otherwise nothing.
    [[nodiscard]] std::optional<endpoint_snapshot>
    usable_endpoint(const routing_table& routes,
                    const endpoint_info& endpoint,
                    const std::vector<domain_id>& suspected,
                    time_point now);

    /// Whether an endpoint fails so much more often than the others that it is avoided. `all`
    /// includes its own attempts.
    [[nodiscard]] static bool fails_often(const attempt_counts& own, const attempt_counts& all);

    /// Marks candidates that fail more often than the others.
    static void mark_avoided(candidate_set& set);

    /// Whether the endpoint, or its whole domain, is in a cold period.
    [[nodiscard]] bool is_cold(const endpoint_info& endpoint, time_point now);

    /// How often this instance may send a request to a cold endpoint.
    struct cold_limit
    {
        duration interval{};
        duration first_wait{}; ///< Before the first request.
    };

    /// Nothing if the endpoint is warm or takes any number of requests.
    [[nodiscard]] std::optional<cold_limit>
    cold_limit_of(const routing_table& routes, const endpoint_info& endpoint, time_point now);

    /// Whether a request may go to the candidate; for a cold endpoint, consumes this
    /// instance's next admission.
    [[nodiscard]] bool
    admit(const routing_table& routes, const placement_candidate& candidate, time_point now);

    /// The same without consuming it.
    [[nodiscard]] bool
    would_admit(const routing_table& routes, const placement_candidate& candidate, time_point now);

    /// Starts a cold period for each domain that the older settings disabled and the newer ones
    /// enable.
    void start_cold_periods(const settings_snapshot& before,
                            const settings_snapshot& after,
                            time_point now);

    /// Time between two requests of this instance to one cold endpoint.
    [[nodiscard]] duration cold_request_interval(const service_policy& service) const;

    /// Address of an endpoint that should hold the request's prefix, or its first part, when the
    /// chosen endpoint may lack it; otherwise empty.
    [[nodiscard]] std::string prefix_source(const routing_table& routes,
                                            const forward_request& request,
                                            const endpoint_info& chosen,
                                            time_point now);

    /// First endpoint in rendezvous order of the prefix that is neither recently cold nor
    /// suspended; null when there is none.
    [[nodiscard]] const endpoint_info* expected_prefix_endpoint(const routing_table& routes,
                                                                const forward_request& request,
                                                                time_point now);

    /// The endpoint other than the chosen one that was last sent the prefix; null when it is
    /// unknown, not listed or suspended.
    [[nodiscard]] const endpoint_info* last_prefix_endpoint(const routing_table& routes,
                                                            std::uint64_t prefix,
                                                            const endpoint_info& chosen,
                                                            time_point now);
    /// Puts the catalog's current list in force.
    void apply_endpoints(time_point now);
    void send(const outgoing_messages& list);
    void send(const group_messages& list);
    void send_digest(time_point now);
    void send_quarantine(time_point now);

    /// Sends what accounts have used of services without room.
    void send_usage(time_point now);
    void on_usage(const usage_report& report, time_point now);

    /// Time between two digests to the own domain or to the others.
    [[nodiscard]] duration digest_period_for(bool same_domain) const;

    /// Moves the rollouts on and sends the reports that are due.
    void tick_rollouts(time_point now);
    [[nodiscard]] rollout_surroundings surroundings_of(const rollout_order& order, time_point now);
    /// Passes the orders in force and the versions of all listed endpoints to the rollouts.
    void refresh_rollouts(time_point now);

    /// The other instances that are alive, as far as this one knows.
    [[nodiscard]] std::vector<const member*> live_peers(const membership_view& members) const;

    /// Whether a digest is due for the own domain, or for the others; if so, counts it as sent.
    [[nodiscard]] bool take_digest_due(bool same_domain, const load_digest& digest, time_point now);

    const forward_options options_;
    message_sink& sink_;
    instance_state state_;
    settings_sync settings_sync_;
    endpoint_catalog catalog_;
    feed_distributor feed_;
    endpoint_tracker tracker_;
    endpoint_departures departures_;
    domain_reachability domains_;
    prefix_locations prefixes_;
    local_retry_budget retries_;
    fleet_size fleet_size_;
    prompt_quarantine quarantine_;
    rollout_registry rollouts_;
    live_instances live_instances_;
    admission_gate admission_;
    response_times response_times_;
    std::atomic<std::uint64_t> ticket_count_{0}; ///< Of admission.
    std::mutex endpoints_mutex_;                 ///< Orders the changes of the list in force.
    std::mutex rollouts_mutex_; ///< Orders the changes of the rollouts' orders and versions.
    std::mutex mutex_;
    /// End of the cold period of each re-enabled domain. Guarded by `mutex_`.
    absl::flat_hash_map<domain_id, time_point> cold_domains_;
    sent_digest local_digest_;  ///< Last sent to the own domain. Guarded by `mutex_`.
    sent_digest remote_digest_; ///< Last sent to other domains. Guarded by `mutex_`.
    /// Last usage reports to other domains and to the own one. Guarded by `mutex_`.
    std::array<time_point, 2> usage_sent_at_{};
    time_point expired_at_{};        ///< Last expiry of the tracker. Guarded by `mutex_`.
    time_point summary_sent_at_{};   ///< Of the quarantine. Guarded by `mutex_`.
    std::uint64_t summary_count_{0}; ///< Sent so far. Guarded by `mutex_`.
    std::atomic<std::uint64_t> choice_count_{0}; ///< Gives each choice its own tie-break seed.
};

} // namespace mangovane

#endif

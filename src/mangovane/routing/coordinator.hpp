// The decisions of one instance: passes messages and events to its services, and performs the
// actions of request flows. Uses no sockets, no clock and no random numbers of its own.
#ifndef MANGOVANE_ROUTING_COORDINATOR_HPP
#define MANGOVANE_ROUTING_COORDINATOR_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

#include "mangovane/routing/chat_service.hpp"
#include "mangovane/routing/flow_table.hpp"
#include "mangovane/routing/instance_state.hpp"
#include "mangovane/routing/limit_service.hpp"
#include "mangovane/routing/local_shares.hpp"
#include "mangovane/routing/message_sink.hpp"
#include "mangovane/routing/settings_sync.hpp"
#include "mangovane/routing/slot_service.hpp"

namespace mangovane
{

struct coordinator_options
{
    member self;
    detector_timing timing;
    std::uint64_t seed{1};
    std::size_t chat_capacity{1U << 20U}; ///< Chats stored by this instance.

    bool operator==(const coordinator_options&) const = default;
};

/// Counts since the start of the process.
struct coordinator_counters
{
    std::uint64_t accepted{0};
    std::uint64_t attempts{0};
    std::uint64_t retries{0};
    std::uint64_t retries_refused{0}; ///< The retry budget was empty.
    std::uint64_t stale_grants{0};    ///< Slots that were granted too late and released.
    std::uint64_t local_slots{0};     ///< Slots used from the local share, without the owner.

    auto operator<=>(const coordinator_counters&) const = default;
};

/// Decisions of an instance whose endpoints have owners that grant slots. `forward_core` takes this
/// role at an instance that forwards by routes.
class coordinator
{
public:
    /// The sink must outlive the coordinator.
    coordinator(coordinator_options options, message_sink& sink, time_point now);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    /// Applies settings if they are newer than the current ones.
    adopt_result adopt_settings(settings_ptr settings, time_point now);

    /// Handles the platform's list of instances and endpoints.
    void on_platform_list(const std::vector<listed_instance>& instances,
                          endpoints_ptr endpoints,
                          time_point now);

    /// Handles an answer of the platform to a read of the current settings version; newer settings
    /// must have been adopted before.
    void on_platform_read(time_point now);

    /// Handles a report of an endpoint about itself.
    void on_endpoint_report(const endpoint_report& report, time_point now);

    /// Handles a poll that an endpoint answered without a load report, or did not answer.
    void on_endpoint_poll(endpoint_id endpoint, bool answered, time_point now);

    /// Endpoints that this instance has to poll: the ones it owns, and those whose local share it
    /// needs.
    [[nodiscard]] std::vector<endpoint_id> endpoints_to_poll(time_point now);

    /// Handles a message of another instance.
    void on_message(instance_id from, const message& msg, time_point now);

    /// Runs the timers of all services. Must be called at least every 50 ms.
    void tick(time_point now);

    /// Leaves the fleet: announces it and gives up all ownership. Running requests continue.
    void leave(time_point now);

    /// Starts a request; its callbacks are called until `answer` or `end`. Returns the request
    /// number for `on_event`.
    std::uint64_t
    start(routed_request request, std::shared_ptr<request_callbacks> callbacks, time_point now);

    /// Handles an event of a request; false if the request has ended.
    bool on_event(std::uint64_t number, const flow_event& event, time_point now);

    [[nodiscard]] instance_state& state() noexcept { return state_; }
    [[nodiscard]] settings_registry& settings() noexcept { return state_.settings(); }
    [[nodiscard]] slot_service& slots() noexcept { return slots_; }
    [[nodiscard]] chat_service& chats() noexcept { return chats_; }
    [[nodiscard]] routing_table_ptr routes() const { return state_.routes(); }
    [[nodiscard]] view_ptr view() const { return state_.view(); }
    [[nodiscard]] coordinator_counters counters() const;

    /// Requests that were started and have not ended.
    [[nodiscard]] std::size_t running() { return flows_.size(); }

private:
    class service_retry_budgets;
    struct action_performer;

    using handler = void (coordinator::*)(instance_id, const message&, time_point);

    /// Table of handlers in the order of the message variant.
    template <class... Messages>
    static constexpr auto make_table(const std::variant<Messages...>*);
    template <class Message>
    void dispatch(instance_id from, const message& msg, time_point now);
    template <class Message>
    void handle(instance_id from, const Message& msg, time_point now);
    void pass_to_flow(instance_id from, const slot_grant& msg, time_point now);
    void pass_to_flow(instance_id from, const slot_refusal& msg, time_point now);

    void send(const outgoing_messages& list, time_point now);
    void send(const outgoing_message& msg, time_point now);
    void perform(std::uint64_t number, const flow_step& step, time_point now);
    void acquire_limits(std::uint64_t number, time_point now);
    void grant_limits(std::uint64_t number, std::vector<limit_rule> rules, time_point now);
    void request_local_slot(std::uint64_t number, const slot_request& request, time_point now);
    [[nodiscard]] std::vector<limit_rule> limits_of(std::uint64_t number);
    [[nodiscard]] std::optional<instance_id> owner_of(endpoint_id endpoint) const;
    void recheck_limits(time_point now);
    void renew_slots(time_point now);
    void
    on_view_change(const membership_view& before, const membership_view& after, time_point now);
    void apply_view(time_point now);
    void open_fence_if_current();
    [[nodiscard]] flow_context context(std::uint64_t number,
                                       std::uint64_t salt,
                                       const routing_table& routes,
                                       const membership_view& view,
                                       time_point now);

    coordinator_options options_;
    message_sink& sink_;
    instance_state state_;
    slot_service slots_;
    chat_service chats_;
    limit_service limits_;
    local_shares shares_;
    settings_sync settings_sync_;
    flow_table flows_;
    std::unique_ptr<placement_strategy> strategy_;
    std::unique_ptr<service_retry_budgets> retries_;
    std::atomic<std::uint64_t> next_number_{1};
    std::atomic<std::uint64_t> next_salt_{1}; ///< Gives each event its own random seed.

    /// A request that waits for limits.
    struct pending_limit_check
    {
        std::uint64_t number;
        time_point expires_at;
    };

    struct counter_set
    {
        std::atomic<std::uint64_t> accepted{0};
        std::atomic<std::uint64_t> attempts{0};
        std::atomic<std::uint64_t> stale_grants{0};
        std::atomic<std::uint64_t> local_slots{0};
    };

    counter_set counters_;
    std::mutex mutex_;
    view_ptr applied_view_;            ///< View whose owners are applied. Guarded by `mutex_`.
    routing_table_ptr applied_routes_; ///< Guarded by `mutex_`.
    time_point renewed_at_{};          ///< Guarded by `mutex_`.
    std::vector<pending_limit_check> pending_limit_checks_; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

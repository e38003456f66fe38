// State machine of one request, from acceptance to the end of its response. Handles events and
// returns actions; does no I/O and never blocks.
#ifndef MANGOVANE_ROUTING_REQUEST_FLOW_HPP
#define MANGOVANE_ROUTING_REQUEST_FLOW_HPP

#include <cstdint>
#include <string_view>
#include <vector>

#include "mangovane/membership/view.hpp"
#include "mangovane/placement/placement_strategy.hpp"
#include "mangovane/retry/retry_budget.hpp"
#include "mangovane/routing/flow_event.hpp"
#include "mangovane/routing/routed_request.hpp"
#include "mangovane/routing/routing_table.hpp"

namespace mangovane
{

/// Strategy that limits the retries of a service; shared by its requests.
class retry_limiter
{
public:
    virtual ~retry_limiter() = default;
    /// Returns whether a retry is permitted, and if so counts it.
    [[nodiscard]] virtual bool try_retry(service_id service) = 0;
};

/// State that a flow reads while it handles an event.
struct flow_context
{
    const routing_table& routes;
    const membership_view& view;
    const placement_strategy& strategy;
    retry_limiter& retries;
    std::uint64_t seed{0}; ///< Random seed for this event.
    time_point now;
    bool fenced{false}; ///< The process was paused and has had no remote answer since.
    time_point resumed_at{time_point::min()}; ///< End of the last pause.
};

class request_flow
{
public:
    /// `number` is unique for the lifetime of the process; attempt sequences and tickets are
    /// derived from it.
    request_flow(routed_request request, attempt_id first, std::uint64_t number);

    /// First step: validates the request against the settings.
    [[nodiscard]] flow_actions start(const flow_context& ctx);

    [[nodiscard]] flow_actions on_event(const flow_event& event, const flow_context& ctx);

    [[nodiscard]] bool finished() const noexcept { return stage_ == stage::finished; }

    /// Attempt that holds a slot, for renewals; null without one.
    [[nodiscard]] const attempt_id* held_slot() const noexcept
    {
        return slot_held_ ? &attempt_ : nullptr;
    }
    [[nodiscard]] bool response_started() const noexcept { return response_started_; }
    [[nodiscard]] endpoint_id slot_endpoint() const noexcept { return endpoint_; }
    [[nodiscard]] bool slot_is_local() const noexcept { return slot_local_; }
    [[nodiscard]] time_point dispatch_until() const noexcept { return dispatch_until_; }
    [[nodiscard]] const routed_request& request() const noexcept { return request_; }

    /// Low bits of attempt sequences and tickets, which count within a request.
    static constexpr unsigned sequence_bits = 12;

private:
    enum class stage : std::uint8_t
    {
        checking_limits,
        locating_chat,
        sampling_load,
        requesting_slot,
        claiming,
        running,
        pausing, ///< No endpoint granted a slot; a new plan is made after a short pause.
        finished,
    };

    /// Current step of the placement plan.
    enum class plan_step : std::uint8_t
    {
        warm_first,  ///< Most recent endpoint of the chat, with a short wait in its queue.
        warm_second, ///< Second most recent endpoint of the chat, without a wait.
        sampled,     ///< Sampled endpoints by load, each up to the mean.
        overflow,    ///< The same and all other endpoints, up to the whole bound.
        queued,      ///< Waits in the queue of the chat's endpoint, or of the least loaded one.
        local_share, ///< If no owner answers: this instance's own share of an endpoint.
        exhausted,
    };

    void on(const limits_decided& event, const flow_context& ctx);
    void on(const chat_answer& event, const flow_context& ctx);
    void on(const load_answer& event, const flow_context& ctx);
    void on(const slot_grant& event, const flow_context& ctx);
    void on(const slot_refusal& event, const flow_context& ctx);
    void on(const claim_decided& event, const flow_context& ctx);
    void on(const attempt_answered& event, const flow_context& ctx);
    void on(const attempt_ended& event, const flow_context& ctx);
    void on(const timer_expired& event, const flow_context& ctx);
    void on(const caller_left& event, const flow_context& ctx);
    void on(const admission_ended& event, const flow_context& ctx);
    void on(const instance_stopping& event, const flow_context& ctx);

    void locate_chat(const flow_context& ctx);
    void make_plan(const flow_context& ctx);
    void query_sample(const flow_context& ctx);
    void finish_sampling(const flow_context& ctx);
    void try_next_endpoint(const flow_context& ctx);
    void begin_step(plan_step step, const flow_context& ctx);
    void begin_warm_first(const flow_context& ctx);
    void begin_warm_second(const flow_context& ctx);
    void begin_sampled(const flow_context& ctx);
    void begin_overflow(const flow_context& ctx);
    void begin_queued(const flow_context& ctx);
    void begin_local_share(const flow_context& ctx);
    void begin_exhausted(const flow_context& ctx);
    void pause_or_fail(const flow_context& ctx);
    void send_slot_request(endpoint_id endpoint,
                           slot_purpose purpose,
                           time_point wait_until,
                           const flow_context& ctx);
    void dispatch_or_claim(const flow_context& ctx);
    void dispatch(const flow_context& ctx);
    [[nodiscard]] bool may_dispatch(const flow_context& ctx) const;
    void on_failed_attempt(const attempt_ended& event, const flow_context& ctx);
    /// Ends the request now with an error, or its response as incomplete.
    void give_up(error_kind kind, std::string_view message);
    void fail(error_kind kind, std::string_view message);
    void release_held_slot(attempt_outcome outcome, std::uint32_t first_token_ms);
    void cancel_slot_request();
    void next_attempt();
    void wake(time_point at);
    [[nodiscard]] std::uint64_t next_sequence();
    [[nodiscard]] claim make_claim(claim_state state) const;
    /// Kind to answer with: a kind that means "not run" is replaced if an attempt may have reached
    /// an endpoint.
    [[nodiscard]] error_kind reported_kind(error_kind kind) const;
    [[nodiscard]] const account_policy* account(const flow_context& ctx) const;
    void add_action(flow_action action) { actions_.push_back(std::move(action)); }

    routed_request request_;
    attempt_id attempt_; ///< Current attempt; slots, claims and answers of others are stale.
    std::uint64_t number_;
    std::uint64_t count_{0};   ///< Sequence numbers used so far.
    std::uint64_t wakes_{0};   ///< Number of the last `wake_at`.
    attempt_id claim_attempt_; ///< Attempt of the claim; valid with `claim_held_`.
    stage stage_{stage::checking_limits};
    plan_step step_{plan_step::warm_first};
    bool is_model_{false}; ///< Kind of the service when the request started.
    std::uint16_t weight_{1};
    milliseconds warm_wait_{0};
    std::uint32_t sample_size_{1};
    chat_locations locations_;
    placement_plan plan_;
    std::vector<endpoint_id>
        untried_; ///< Endpoints of the current step, in order; taken from the back.
    std::vector<load_answer> loads_;    ///< Answers to the load queries of the sample.
    std::vector<endpoint_id> excluded_; ///< Endpoints that failed an attempt of the request.
    std::size_t loads_expected_{0};
    std::size_t chat_answers_{0}; ///< Answers of the chat's owners so far.
    std::uint64_t ticket_{0};     ///< Ticket of the outstanding queries.
    endpoint_id endpoint_;        ///< Endpoint of the slot requested or held.
    time_point requested_at_;     ///< Time of the slot request.
    /// Latest time of dispatch, `max_dispatch_delay` after the slot request.
    time_point dispatch_until_;
    bool slot_held_{false};
    bool slot_local_{false};
    bool claim_held_{false};
    bool response_started_{false}; ///< A byte of the response was sent to the caller.
    bool may_have_run_{false};     ///< An attempt may have reached an endpoint.
    bool owner_answered_{false};   ///< An owner has answered a slot request of this plan.
    bool queue_was_full_{false};
    bool was_queued_{false};  ///< An owner queued the request under this plan.
    std::uint32_t pauses_{0}; ///< Consecutive pauses without a slot.
    flow_actions actions_;    ///< Actions of the event being handled.
};

} // namespace mangovane

#endif

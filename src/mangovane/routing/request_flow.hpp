// The decisions of one request, from acceptance to the end of its answer, as a state machine.
// Events come in, actions go out; it never waits and does no I/O.
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

/// Strategy for the retry budget of a service, which is shared by its requests.
class retry_limiter
{
public:
    virtual ~retry_limiter() = default;
    [[nodiscard]] virtual bool try_retry(service_id service) = 0;
};

/// What a flow may look at when an event arrives.
struct flow_context
{
    const routing_table& routes;
    const membership_view& view;
    const placement_strategy& strategy;
    retry_limiter& retries;
    std::uint64_t seed{0}; ///< Source of chance for this event.
    time_point now;
    bool fenced{false}; ///< The process was paused and has not heard from others since.
    time_point resumed_at{time_point::min()}; ///< End of the last pause.
};

class request_flow
{
public:
    /// `number` is unique for the life of the process; attempts and tickets are derived from it.
    request_flow(routed_request request, attempt_id first, std::uint64_t number);

    /// First step: checks the request against the settings.
    [[nodiscard]] flow_actions start(const flow_context& ctx);

    [[nodiscard]] flow_actions on_event(const flow_event& event, const flow_context& ctx);

    [[nodiscard]] bool finished() const noexcept { return stage_ == stage::finished; }

    /// The slot held for the current attempt; used for renewals.
    [[nodiscard]] const attempt_id* held_slot() const noexcept
    {
        return slot_held_ ? &attempt_ : nullptr;
    }
    [[nodiscard]] bool answered() const noexcept { return answered_; }
    [[nodiscard]] endpoint_id slot_endpoint() const noexcept { return endpoint_; }
    [[nodiscard]] bool slot_is_local() const noexcept { return slot_local_; }
    [[nodiscard]] time_point lease_until() const noexcept { return lease_until_; }
    [[nodiscard]] const routed_request& request() const noexcept { return request_; }

    /// Low bits of attempt sequences and tickets that count inside a request.
    static constexpr unsigned sequence_bits = 12;

private:
    enum class stage : std::uint8_t
    {
        admitting,
        locating,
        sampling,
        asking,
        claiming,
        running,
        pausing, ///< Nothing could be asked; the plan is made anew after a short pause.
        finished,
    };

    /// Which step of the plan is under way.
    enum class plan_step : std::uint8_t
    {
        warm_first, ///< Most recent endpoint of the chat, with a short wait.
        warm_second,
        sampled,     ///< Least loaded of the sample, up to the mean.
        overflow,    ///< The same endpoints with the whole bound.
        queued,      ///< Waits in the queue of the least loaded.
        local_share, ///< No owner can be reached: this instance's own share.
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

    void locate(const flow_context& ctx);
    void make_plan(const flow_context& ctx);
    void query_sample(const flow_context& ctx);
    void finish_sampling(const flow_context& ctx);
    void next_try(const flow_context& ctx);
    void begin_step(plan_step step, const flow_context& ctx);
    void begin_warm_first(const flow_context& ctx);
    void begin_warm_second(const flow_context& ctx);
    void begin_sampled(const flow_context& ctx);
    void begin_overflow(const flow_context& ctx);
    void begin_queued(const flow_context& ctx);
    void begin_local_share(const flow_context& ctx);
    void begin_exhausted(const flow_context& ctx);
    void pause_or_fail(const flow_context& ctx);
    void
    ask(endpoint_id endpoint, slot_purpose purpose, time_point wait_until, const flow_context& ctx);
    void dispatch_or_claim(const flow_context& ctx);
    void dispatch(const flow_context& ctx);
    [[nodiscard]] bool may_dispatch(const flow_context& ctx) const;
    void on_failed_attempt(const attempt_ended& event, const flow_context& ctx);
    void on_deadline();
    void fail(error_kind kind, std::string_view message);
    void give_slot_back(attempt_outcome outcome, std::uint32_t first_token_ms);
    void abandon_ask();
    void next_attempt();
    void wake(time_point at);
    [[nodiscard]] std::uint64_t next_sequence();
    [[nodiscard]] claim make_claim(claim_state state) const;
    [[nodiscard]] error_kind truthful(error_kind kind) const;
    [[nodiscard]] const account_policy* account(const flow_context& ctx) const;
    void act(flow_action action) { actions_.push_back(std::move(action)); }

    routed_request request_;
    attempt_id attempt_; ///< Current attempt; a slot, claim or answer of another is stale.
    std::uint64_t number_;
    std::uint64_t count_{0};   ///< Sequences handed out so far.
    attempt_id claim_attempt_; ///< Attempt that holds the claim; meaningful with `claim_held_`.
    stage stage_{stage::admitting};
    plan_step step_{plan_step::warm_first};
    bool is_model_{false}; ///< Service kind at the start.
    std::uint16_t weight_{1};
    milliseconds warm_wait_{0};
    std::uint32_t sample_size_{1};
    chat_locations locations_;
    placement_plan plan_;
    std::vector<endpoint_id>
        tries_; ///< Endpoints of the current step, in order; taken from the back.
    std::vector<load_answer> loads_;    ///< Answers to the load queries of the current sample.
    std::vector<endpoint_id> excluded_; ///< Endpoints that failed an attempt of this request.
    std::size_t loads_wanted_{0};
    std::size_t chat_answers_{0}; ///< Answers of directory copies so far.
    std::uint64_t ticket_{0};     ///< Of the outstanding queries.
    endpoint_id endpoint_;        ///< Of the slot asked for or held.
    time_point asked_at_;         ///< When the slot was asked for: its lease runs from here.
    time_point lease_until_;      ///< No dispatch after this.
    bool slot_held_{false};
    bool slot_local_{false};
    bool claim_held_{false};
    bool answered_{false};    ///< A byte of the answer has gone to the caller.
    bool ever_sent_{false};   ///< Some attempt may have reached an endpoint.
    bool heard_owner_{false}; ///< Some owner has answered a slot request of this plan.
    bool saw_full_queue_{false};
    bool waited_{false};      ///< Some owner kept the request in its queue in this plan.
    std::uint32_t pauses_{0}; ///< Pauses in a row without any slot.
    flow_actions actions_;    ///< Actions of the event being handled.
};

} // namespace mangovane

#endif

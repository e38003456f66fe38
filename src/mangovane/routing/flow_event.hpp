// Events that a request flow handles, and actions that it returns.
#ifndef MANGOVANE_ROUTING_FLOW_EVENT_HPP
#define MANGOVANE_ROUTING_FLOW_EVENT_HPP

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/idempotency/claim.hpp"
#include "mangovane/message/message.hpp"

namespace mangovane
{

// Events.

/// The limits of the account's nodes were checked.
struct limits_decided
{
    bool granted{false};
    auto operator<=>(const limits_decided&) const = default;
};

/// The caller cancelled the request or closed its connection.
struct caller_left
{
    auto operator<=>(const caller_left&) const = default;
};

/// The time set by `wake_at` has been reached.
struct timer_expired
{
    auto operator<=>(const timer_expired&) const = default;
};

/// Result of claiming the idempotency key.
struct claim_decided
{
    attempt_id attempt;
    bool acquired{false};
    bool store_failed{false};   ///< The store did not answer: the attempt must not dispatch.
    duplicate_answer duplicate; ///< Set if another attempt holds the claim.
    auto operator<=>(const claim_decided&) const = default;
};

/// An attempt received the first byte of a usable response.
struct attempt_answered
{
    attempt_id attempt;
    auto operator<=>(const attempt_answered&) const = default;
};

/// How an attempt ended.
struct attempt_ended
{
    attempt_id attempt;
    attempt_outcome outcome{attempt_outcome::failed};
    bool may_have_reached_endpoint{true}; ///< A byte of the request may have reached the endpoint.
    bool response_started{false};         ///< A byte of the response was sent to the caller.
    bool response_complete{false};        ///< The whole response was sent to the caller.
    std::uint32_t first_token_ms{0};
    std::optional<claim_outcome> stored; ///< The response, for calls with an idempotency key.
    auto operator<=>(const attempt_ended&) const = default;
};

/// The instance stops and dispatches no more work that it may have to cut, such as this request's.
struct admission_ended
{
    auto operator<=>(const admission_ended&) const = default;
};

/// The instance stops and ends the requests that still run.
struct instance_stopping
{
    auto operator<=>(const instance_stopping&) const = default;
};

using flow_event = std::variant<limits_decided,
                                chat_answer,
                                load_answer,
                                slot_grant,
                                slot_refusal,
                                claim_decided,
                                attempt_answered,
                                attempt_ended,
                                timer_expired,
                                caller_left,
                                admission_ended,
                                instance_stopping>;

// Actions.

/// Acquires the limits of the account; answered by `limits_decided`.
struct check_limits
{
    auto operator<=>(const check_limits&) const = default;
};

/// Asks the owners of a chat for its endpoints; each answers with `chat_answer`.
struct query_chat
{
    std::uint64_t ticket{0};
    chat_id chat;
    auto operator<=>(const query_chat&) const = default;
};

/// Asks the owner of an endpoint for its load; answered by `load_answer`.
struct query_load
{
    std::uint64_t ticket{0};
    endpoint_id endpoint;
    auto operator<=>(const query_load&) const = default;
};

/// Requests a slot from the owner of the endpoint, or with `local` from this instance's own share;
/// answered by `slot_grant` or `slot_refusal`.
struct request_slot
{
    slot_request request;
    bool local{false};
    auto operator<=>(const request_slot&) const = default;
};

/// Claims the idempotency key; answered by `claim_decided`.
struct claim_key
{
    claim wanted;
    auto operator<=>(const claim_key&) const = default;
};

/// Sends the request to an endpoint, on a separate connection.
struct send_attempt
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::string address;
    auto operator<=>(const send_attempt&) const = default;
};

/// Aborts an attempt; its response is ignored.
struct abort_attempt
{
    attempt_id attempt;
    auto operator<=>(const abort_attempt&) const = default;
};

/// Releases a slot, or cancels a request for one.
struct release_slot
{
    slot_release release;
    bool local{false}; ///< The slot belongs to this instance's own share.
    auto operator<=>(const release_slot&) const = default;
};

/// Stores the final state of the claim.
struct settle_claim
{
    claim settled;
    auto operator<=>(const settle_claim&) const = default;
};

/// Records that an endpoint has served the chat.
struct record_chat
{
    chat_update update;
    auto operator<=>(const record_chat&) const = default;
};

/// Answers the caller with an error. The flow has ended.
struct answer_error
{
    error_kind kind{error_kind::internal};
    std::string message;
    auto operator<=>(const answer_error&) const = default;
};

/// Answers the caller with the stored outcome of an earlier call. The flow has ended.
struct answer_stored
{
    claim_outcome outcome;
    auto operator<=>(const answer_stored&) const = default;
};

/// Ends the request after its response was sent, completely or cut off. The flow has ended.
struct end_request
{
    bool complete{true};
    auto operator<=>(const end_request&) const = default;
};

/// Sets the timer of the flow, which ends with `timer_expired`; replaces an earlier time. An action
/// performed before it, or another thread, may have caused a later event of the flow: of two wakes
/// the one with the higher number decides, whichever is performed last.
struct wake_at
{
    time_point at;
    std::uint64_t number{0}; ///< Rises with each wake of a flow.
    auto operator<=>(const wake_at&) const = default;
};

using flow_action = std::variant<check_limits,
                                 query_chat,
                                 query_load,
                                 request_slot,
                                 claim_key,
                                 send_attempt,
                                 abort_attempt,
                                 release_slot,
                                 settle_claim,
                                 record_chat,
                                 answer_error,
                                 answer_stored,
                                 end_request,
                                 wake_at>;

using flow_actions = std::vector<flow_action>;

} // namespace mangovane

#endif

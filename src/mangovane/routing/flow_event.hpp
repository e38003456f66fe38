// What can happen to a request, and what its flow can ask for.
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

/// The caller's own timer, or its connection, gave up.
struct caller_left
{
    auto operator<=>(const caller_left&) const = default;
};

/// The time that was asked for with `wake_at` has come.
struct timer_expired
{
    auto operator<=>(const timer_expired&) const = default;
};

/// Result of claiming the idempotency key.
struct claim_decided
{
    attempt_id attempt;
    bool acquired{false};
    bool store_failed{false};   ///< No answer of the store: this attempt must not dispatch.
    duplicate_answer duplicate; ///< Set when another attempt holds the claim.
    auto operator<=>(const claim_decided&) const = default;
};

/// An attempt saw the first byte of a usable answer.
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
    bool bytes_sent{true};       ///< A byte of the request may have reached the endpoint.
    bool answer_started{false};  ///< A byte of the answer has gone to the caller.
    bool answer_complete{false}; ///< The whole answer of the endpoint was passed on.
    std::uint32_t first_token_ms{0};
    std::optional<claim_outcome> stored; ///< The answer, for calls with a key.
    auto operator<=>(const attempt_ended&) const = default;
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
                                caller_left>;

// Actions.

struct check_limits
{
    auto operator<=>(const check_limits&) const = default;
};

struct query_chat
{
    std::uint64_t ticket{0};
    chat_id chat;
    auto operator<=>(const query_chat&) const = default;
};

struct query_load
{
    std::uint64_t ticket{0};
    endpoint_id endpoint;
    auto operator<=>(const query_load&) const = default;
};

/// Asks the owner of the endpoint for a slot; with `local`, the instance's own share of it.
struct request_slot
{
    slot_request request;
    bool local{false};
    auto operator<=>(const request_slot&) const = default;
};

struct claim_key
{
    claim wanted;
    auto operator<=>(const claim_key&) const = default;
};

/// Sends the request to an endpoint, on a connection of its own.
struct send_attempt
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::string address;
    auto operator<=>(const send_attempt&) const = default;
};

/// Drops an attempt; its answer no longer counts.
struct abort_attempt
{
    attempt_id attempt;
    auto operator<=>(const abort_attempt&) const = default;
};

struct release_slot
{
    slot_release release;
    bool local{false}; ///< The slot is of the instance's own share.
    auto operator<=>(const release_slot&) const = default;
};

struct settle_claim
{
    claim settled;
    auto operator<=>(const settle_claim&) const = default;
};

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

/// The answer has gone to the caller whole, or was cut where it cannot be repeated. The flow has
/// ended.
struct end_request
{
    bool complete{true};
    auto operator<=>(const end_request&) const = default;
};

/// Asks for `timer_expired` at this time; replaces an earlier one.
struct wake_at
{
    time_point at;
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

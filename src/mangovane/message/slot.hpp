// Messages about slots: permits for one request in flight at an endpoint. The owner of an endpoint
// grants them as leases; the holder is the instance that runs the request.
#ifndef MANGOVANE_MESSAGE_SLOT_HPP
#define MANGOVANE_MESSAGE_SLOT_HPP

#include <cstdint>
#include <vector>

#include "mangovane/core/id.hpp"
#include "mangovane/core/request_class.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Why a request asks for this endpoint; decides which part of the load bound it may use.
enum class slot_purpose : std::uint8_t
{
    returning_chat, ///< The endpoint has a prefix of the chat cached: the whole bound.
    new_chat,       ///< No cached prefix: up to the mean, which keeps capacity for returning chats.
    overflow,       ///< All other candidates refused: the whole bound.
};

/// Holder to owner: asks for a slot.
struct slot_request
{
    attempt_id attempt;
    endpoint_id endpoint;
    service_id service;
    account_id account;
    request_class priority{request_class::standard};
    std::uint16_t weight{1}; ///< Weight of the account within its class; at least 1.
    slot_purpose purpose{slot_purpose::new_chat};
    time_point
        wait_until;      ///< The owner may queue the request until then; in the past: do not queue.
    time_point deadline; ///< Deadline of the caller.

    auto operator<=>(const slot_request&) const = default;
};

/// Owner to holder: the slot is granted. The lease period is counted from the time
/// at which the holder sent its request.
struct slot_grant
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::uint32_t in_flight{0}; ///< Requests in flight, including this one.
    std::uint32_t allowed{0};   ///< Bound on `in_flight`.

    auto operator<=>(const slot_grant&) const = default;
};

/// Why a slot is not granted.
enum class slot_refusal_reason : std::uint8_t
{
    not_owner,    ///< The receiver of the request does not own the endpoint in its view.
    at_bound,     ///< The load bound is reached and the request cannot be queued.
    cold,         ///< The current limit of a cold endpoint's ramp is reached.
    rebuilding,   ///< A new owner has not received the renewals of all holders yet.
    leaving,      ///< The endpoint is shutting down.
    drained,      ///< The settings take out the endpoint or its failure domain.
    queue_full,   ///< The queue or the account's share of it is full.
    wait_expired, ///< `wait_until` passed while the request was queued.
    deadline,     ///< The expected wait ends after the deadline.
    unreachable,  ///< Local: the owner did not respond.
    unknown_endpoint,
    failing, ///< Polls of the endpoint or requests to it fail.
};

inline constexpr std::size_t slot_refusal_reason_count = 12;

/// Owner to holder: the slot is not granted.
struct slot_refusal
{
    attempt_id attempt;
    endpoint_id endpoint;
    slot_refusal_reason reason{slot_refusal_reason::at_bound};
    std::uint32_t in_flight{0};
    std::uint32_t allowed{0};

    auto operator<=>(const slot_refusal&) const = default;
};

/// How an attempt at an endpoint ended.
enum class attempt_outcome : std::uint8_t
{
    succeeded,
    failed,     ///< The endpoint failed or the connection was lost.
    overloaded, ///< The endpoint rejected the request as overloaded (503, 429).
    cancelled,  ///< The caller disconnected, or the slot was released unused.
};

/// Holder to owner: the request has ended, or the slot is released unused.
struct slot_release
{
    attempt_id attempt;
    endpoint_id endpoint;
    attempt_outcome outcome{attempt_outcome::succeeded};
    std::uint32_t first_token_ms{0}; ///< Time to the first token; 0: none was received.

    auto operator<=>(const slot_release&) const = default;
};

/// One slot in a renewal.
struct held_slot
{
    attempt_id attempt;
    time_point deadline;  ///< Deadline of the caller.
    bool answered{false}; ///< The first byte of the response has arrived.

    auto operator<=>(const held_slot&) const = default;
};

/// Holder to owner: renews the leases of all slots that it holds at an endpoint; may be empty.
struct slot_renewal
{
    endpoint_id endpoint;
    std::vector<held_slot> slots;

    bool operator==(const slot_renewal&) const = default;
};

} // namespace mangovane

#endif

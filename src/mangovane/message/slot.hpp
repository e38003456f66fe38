// Messages about slots: the right to have one request in flight at an endpoint.
#ifndef MANGOVANE_MESSAGE_SLOT_HPP
#define MANGOVANE_MESSAGE_SLOT_HPP

#include <cstdint>
#include <vector>

#include "mangovane/core/id.hpp"
#include "mangovane/core/request_class.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Why a request asks for this endpoint; decides which part of the bound it may use.
enum class slot_purpose : std::uint8_t
{
    returning_chat, ///< The endpoint holds a prefix of the chat: the whole bound.
    new_chat,       ///< No prefix anywhere: up to the mean, so that returning chats find room.
    overflow,       ///< Every other candidate refused: the whole bound.
};

/// Holder to owner: asks for a slot.
struct slot_request
{
    attempt_id attempt;
    endpoint_id endpoint;
    service_id service;
    account_id account;
    request_class priority{request_class::standard};
    std::uint16_t weight{1}; ///< Weight of the account inside its class; at least 1.
    slot_purpose purpose{slot_purpose::new_chat};
    time_point wait_until; ///< The owner may queue the request until then; past: answer at once.
    time_point deadline;   ///< Deadline of the caller.

    auto operator<=>(const slot_request&) const = default;
};

/// Owner to holder: the slot is granted. The lease runs from the moment the holder sent its
/// request.
struct slot_grant
{
    attempt_id attempt;
    endpoint_id endpoint;
    std::uint32_t in_flight{0}; ///< After the grant.
    std::uint32_t allowed{0};

    auto operator<=>(const slot_grant&) const = default;
};

enum class slot_refusal_reason : std::uint8_t
{
    not_owner,    ///< The receiver does not own the endpoint in its view.
    at_bound,     ///< The load bound is reached and the request would not or could not wait.
    cold,         ///< The ramp of a cold endpoint is exhausted.
    rebuilding,   ///< A new owner has not yet heard from all holders.
    leaving,      ///< The endpoint leaves.
    drained,      ///< The endpoint or its failure domain is taken out by the settings.
    queue_full,   ///< The wait queue or the account's part of it is full.
    wait_expired, ///< `wait_until` passed in the queue.
    deadline,     ///< The expected wait passes the deadline.
    unreachable,  ///< Local: no answer from the owner.
    unknown_endpoint,
    failing, ///< The endpoint fails polls or requests.
};

inline constexpr std::size_t slot_refusal_reason_count = 12;

/// Owner to holder: no slot.
struct slot_refusal
{
    attempt_id attempt;
    endpoint_id endpoint;
    slot_refusal_reason reason{slot_refusal_reason::at_bound};
    std::uint32_t in_flight{0};
    std::uint32_t allowed{0};

    auto operator<=>(const slot_refusal&) const = default;
};

enum class attempt_outcome : std::uint8_t
{
    succeeded,
    failed,     ///< The endpoint failed or the connection broke.
    overloaded, ///< The endpoint refused for overload (503, 429).
    cancelled,  ///< The caller left, or the holder gave the slot back unused.
};

/// Holder to owner: the request has ended, or gives the slot back unused.
struct slot_release
{
    attempt_id attempt;
    endpoint_id endpoint;
    attempt_outcome outcome{attempt_outcome::succeeded};
    std::uint32_t first_token_ms{0}; ///< 0: no first token seen.

    auto operator<=>(const slot_release&) const = default;
};

/// One slot in a renewal.
struct held_slot
{
    attempt_id attempt;
    time_point deadline;  ///< Deadline of the caller.
    bool answered{false}; ///< The first byte of the answer has arrived.

    auto operator<=>(const held_slot&) const = default;
};

/// Holder to owner: the complete list of slots it holds at an endpoint; possibly empty.
struct slot_renewal
{
    endpoint_id endpoint;
    std::vector<held_slot> slots;

    bool operator==(const slot_renewal&) const = default;
};

} // namespace mangovane

#endif

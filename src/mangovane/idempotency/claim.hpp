// Claims on idempotency keys. A claim is one row of the table service; it is inserted before
// dispatch, never taken over, and gets the outcome once it is known.
#ifndef MANGOVANE_IDEMPOTENCY_CLAIM_HPP
#define MANGOVANE_IDEMPOTENCY_CLAIM_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/core/id.hpp"

namespace mangovane
{

enum class claim_state : std::uint8_t
{
    claimed,   ///< The holder may have dispatched the call.
    completed, ///< The outcome is stored.
    unknown,   ///< The call was dispatched and its outcome could not be learnt.
    abandoned, ///< The holder gave up before dispatch: the call did not run and may be claimed
               ///< again.
};

/// Stored outcome of a call.
struct claim_outcome
{
    std::uint16_t http_status{0};
    std::string content_type;
    std::string body; ///< Empty when larger than `max_stored_body_bytes`.
    std::uint64_t body_digest{0};
    bool body_stored{true};

    auto operator<=>(const claim_outcome&) const = default;
};

inline constexpr std::size_t max_stored_body_bytes = std::size_t{64} * 1024; ///< Bytes.

/// One claim as stored.
struct claim
{
    account_id account;
    service_id service;
    std::string key;              ///< The caller's `Idempotency-Key`.
    std::uint64_t fingerprint{0}; ///< Hash of method, path and body.
    attempt_id attempt;           ///< The attempt that inserted the claim.
    claim_state state{claim_state::claimed};
    std::optional<claim_outcome> outcome;
    std::uint64_t expires_unix_ms{0}; ///< End of the retention time; 0: never.
    std::uint64_t claimed_unix_ms{0}; ///< When the claim was made; compared with `expires_unix_ms`
                                      ///< of an earlier claim of the key.

    auto operator<=>(const claim&) const = default;
};

/// Name of the claim's row in the table service.
[[nodiscard]] std::string
claim_row_key(account_id account, service_id service, const std::string& key);

/// What a caller gets whose key was found with another attempt's claim.
struct duplicate_answer
{
    std::optional<error_kind> refusal; ///< Set unless the stored outcome is returned.
    std::optional<claim_outcome> outcome;
    bool may_claim{
        false}; ///< The earlier holder abandoned before dispatch, or the retention ended.

    auto operator<=>(const duplicate_answer&) const = default;
};

/// Answer to a repeat of the key with this fingerprint at this time.
[[nodiscard]] duplicate_answer
answer_duplicate(const claim& stored, std::uint64_t fingerprint, std::uint64_t now_unix_ms);

} // namespace mangovane

#endif

// Claims on idempotency keys. A claim is one row of the table service. It is inserted before the
// call is dispatched, is not taken over by another attempt while the call may have run, and stores
// the outcome once it is known.
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
    claimed,   ///< The attempt with the claim may have dispatched the call.
    completed, ///< The outcome is stored.
    unknown,   ///< The call was dispatched and its outcome could not be determined.
    abandoned, ///< The attempt with the claim gave up before dispatch: the call did not run, and
               ///< its key may be claimed again.
};

/// Stored outcome of a call.
struct claim_outcome
{
    std::uint16_t http_status{0};
    std::string content_type;
    std::string body;             ///< Empty when larger than `max_stored_body_bytes`.
    std::uint64_t body_digest{0}; ///< Hash of the whole body.
    bool body_stored{true};

    auto operator<=>(const claim_outcome&) const = default;
};

inline constexpr std::size_t max_stored_body_bytes = std::size_t{64} * 1024;

/// A claim as stored in its row.
struct claim
{
    account_id account;
    service_id service;
    std::string key;              ///< The caller's `Idempotency-Key`.
    std::uint64_t fingerprint{0}; ///< Hash of method, path and body.
    attempt_id attempt;           ///< The attempt that inserted the claim.
    claim_state state{claim_state::claimed};
    std::optional<claim_outcome> outcome;
    std::uint64_t expires_unix_ms{0}; ///< End of the retention; 0: never expires.
    std::uint64_t claimed_unix_ms{0}; ///< Time of the claim; compared with `expires_unix_ms`
                                      ///< of an earlier claim of the key.

    auto operator<=>(const claim&) const = default;
};

/// Key of the claim's row in the table service.
[[nodiscard]] std::string
claim_row_key(account_id account, service_id service, const std::string& key);

/// Answer to a request whose key another attempt has claimed.
struct duplicate_answer
{
    std::optional<error_kind> refusal;    ///< Error to answer with, if any.
    std::optional<claim_outcome> outcome; ///< Stored outcome to answer with, if any.
    bool may_claim{false}; ///< The key is free: abandoned before dispatch, or past its retention.

    auto operator<=>(const duplicate_answer&) const = default;
};

/// Decides the answer to a request that repeats the key of a stored claim.
[[nodiscard]] duplicate_answer
answer_duplicate(const claim& stored, std::uint64_t fingerprint, std::uint64_t now_unix_ms);

} // namespace mangovane

#endif

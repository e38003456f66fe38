// What follows from the content of a claim's row. Pure decisions: no I/O, no time.
#ifndef MANGOVANE_IDEMPOTENCY_CLAIM_DECISION_HPP
#define MANGOVANE_IDEMPOTENCY_CLAIM_DECISION_HPP

#include <cstdint>
#include <optional>

#include "mangovane/idempotency/claim.hpp"

namespace mangovane
{

/// What a task wants of the row.
enum class claim_operation : std::uint8_t
{
    claim,   ///< Hold it.
    settle,  ///< Store the end of the claim that it holds.
    abandon, ///< Make sure that it neither holds the claim nor will through a delayed write.
};

enum class row_action : std::uint8_t
{
    write,      ///< Write at `expected_revision`.
    acquired,   ///< The attempt holds the claim.
    duplicate,  ///< Another attempt holds it.
    stored,     ///< The row is as wanted.
    superseded, ///< The row does not hold the attempt's claim.
};

struct row_decision
{
    row_action action{row_action::write};
    std::uint64_t expected_revision{0};
    duplicate_answer duplicate;

    auto operator<=>(const row_decision&) const = default;
};

/// A claim and the revision of its row.
struct stored_claim
{
    claim content;
    std::uint64_t revision{0};

    auto operator<=>(const stored_claim&) const = default;
};

/// Decides by the row as it is; nothing: it does not exist. `last_expected` is the revision on
/// which the attempt's latest write was conditional: that write may still be under way.
[[nodiscard]] row_decision decide_row(claim_operation operation,
                                      const claim& wanted,
                                      const std::optional<stored_claim>& stored,
                                      std::uint64_t last_expected);

} // namespace mangovane

#endif

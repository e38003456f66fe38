// Decisions on the content of a claim's row: pure functions without I/O or clock.
#ifndef MANGOVANE_IDEMPOTENCY_CLAIM_DECISION_HPP
#define MANGOVANE_IDEMPOTENCY_CLAIM_DECISION_HPP

#include <cstdint>
#include <optional>

#include "mangovane/idempotency/claim.hpp"

namespace mangovane
{

/// Operation that a task carries out on a row.
enum class claim_operation : std::uint8_t
{
    claim,   ///< Acquire the claim.
    settle,  ///< Store the final state of the claim that the attempt holds.
    abandon, ///< Ensure that the attempt does not hold the claim, and that no delayed write can
             ///< acquire it.
};

enum class row_action : std::uint8_t
{
    write,      ///< Write the row if it still has `expected_revision`.
    acquired,   ///< The attempt holds the claim.
    duplicate,  ///< Another attempt holds the claim.
    stored,     ///< The row has the wanted state.
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

/// Decides by the current row; `stored` has no value if the row does not exist. `last_expected` is
/// the expected revision of the attempt's latest write, which may still be in flight.
[[nodiscard]] row_decision decide_row(claim_operation operation,
                                      const claim& wanted,
                                      const std::optional<stored_claim>& stored,
                                      std::uint64_t last_expected);

} // namespace mangovane

#endif

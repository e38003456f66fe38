// Implementation of the decisions on a claim's row, one function per operation.
#include "mangovane/idempotency/claim_decision.hpp"

#include <array>

namespace mangovane
{

namespace
{

row_decision write_at(std::uint64_t revision)
{
    return {row_action::write, revision, {}};
}

row_decision end_with(row_action action)
{
    return {action, 0, {}};
}

bool holds_claim(const claim& stored, const claim& wanted)
{
    return stored.attempt == wanted.attempt && stored.state == claim_state::claimed;
}

row_decision
decide_claim(const claim& wanted, const std::optional<stored_claim>& stored, std::uint64_t)
{
    if (!stored)
    {
        return write_at(0);
    }
    if (holds_claim(stored->content, wanted))
    {
        return end_with(row_action::acquired);
    }
    const auto duplicate =
        answer_duplicate(stored->content, wanted.fingerprint, wanted.claimed_unix_ms);
    return duplicate.may_claim ? write_at(stored->revision)
                               : row_decision{row_action::duplicate, 0, duplicate};
}

row_decision
decide_settle(const claim& wanted, const std::optional<stored_claim>& stored, std::uint64_t)
{
    if (!stored || stored->content.attempt != wanted.attempt)
    {
        return end_with(row_action::superseded);
    }
    if (stored->content.state == claim_state::claimed)
    {
        return write_at(stored->revision);
    }
    return end_with(stored->content.state == wanted.state ? row_action::stored
                                                          : row_action::superseded);
}

row_decision decide_abandon(const claim& wanted,
                            const std::optional<stored_claim>& stored,
                            std::uint64_t last_expected)
{
    if (!stored)
    {
        // A delayed insert may still arrive; an abandoned row makes its revision check fail.
        return write_at(0);
    }
    // At this revision, a delayed write of the attempt would still be applied; at a later one it
    // cannot be.
    const bool may_apply = stored->revision == last_expected;
    return holds_claim(stored->content, wanted) || may_apply ? write_at(stored->revision)
                                                             : end_with(row_action::stored);
}

/// In order of `claim_operation`.
constexpr std::array decisions{&decide_claim, &decide_settle, &decide_abandon};

} // namespace

row_decision decide_row(claim_operation operation,
                        const claim& wanted,
                        const std::optional<stored_claim>& stored,
                        std::uint64_t last_expected)
{
    return decisions.at(static_cast<std::size_t>(operation))(wanted, stored, last_expected);
}

} // namespace mangovane

// Implementation of the rules of a claim.
#include "mangovane/idempotency/claim.hpp"

#include <array>

#include <absl/strings/str_cat.h>

namespace mangovane
{

namespace
{

duplicate_answer refuse(error_kind kind)
{
    return {kind, std::nullopt, false};
}

duplicate_answer answer_claimed(const claim&)
{
    return refuse(error_kind::in_progress);
}

duplicate_answer answer_completed(const claim& stored)
{
    // The call has run, but without its outcome there is nothing to return.
    return stored.outcome ? duplicate_answer{std::nullopt, stored.outcome, false}
                          : refuse(error_kind::outcome_unknown);
}

duplicate_answer answer_unknown(const claim&)
{
    return refuse(error_kind::outcome_unknown);
}

duplicate_answer answer_abandoned(const claim&)
{
    return {std::nullopt, std::nullopt, true};
}

/// In order of `claim_state`.
constexpr std::array answers_by_state{&answer_claimed, &answer_completed, &answer_unknown,
                                      &answer_abandoned};

} // namespace

std::string claim_row_key(account_id account, service_id service, const std::string& key)
{
    return absl::StrCat("claim/", absl::Hex(account.value(), absl::kZeroPad16), "/",
                        absl::Hex(service.value(), absl::kZeroPad16), "/", key);
}

duplicate_answer
answer_duplicate(const claim& stored, std::uint64_t fingerprint, std::uint64_t now_unix_ms)
{
    const bool expired = stored.expires_unix_ms != 0 && stored.expires_unix_ms <= now_unix_ms;
    if (expired || stored.state == claim_state::abandoned)
    {
        return answer_abandoned(stored);
    }
    if (stored.fingerprint != fingerprint)
    {
        return refuse(error_kind::key_reused);
    }
    return answers_by_state.at(static_cast<std::size_t>(stored.state))(stored);
}

} // namespace mangovane

// Implementation of the JSON encoding of claims.
#include "mangovane/idempotency/claim_codec.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace mangovane
{

namespace json = boost::json;

namespace
{

/// In order of `claim_state`.
constexpr std::array<std::string_view, 4> state_names{"claimed", "completed", "unknown",
                                                      "abandoned"};

std::uint64_t number(const json::object& obj, const char* name)
{
    return obj.at(name).to_number<std::uint64_t>();
}

std::string text(const json::object& obj, const char* name)
{
    return json::value_to<std::string>(obj.at(name));
}

claim_state state_of(const std::string& name)
{
    const auto it = std::find(state_names.begin(), state_names.end(), name);
    if (it == state_names.end())
    {
        throw std::invalid_argument{"the state of the claim is unknown"};
    }
    return static_cast<claim_state>(it - state_names.begin());
}

json::object outcome_value(const claim_outcome& outcome)
{
    const auto body = absl::Base64Escape(outcome.body);
    return {{"status", outcome.http_status},
            {"content_type", outcome.content_type},
            {"body", body},
            {"digest", outcome.body_digest},
            {"stored", outcome.body_stored}};
}

claim_outcome outcome_of(const json::object& obj)
{
    claim_outcome outcome;
    outcome.http_status = obj.at("status").to_number<std::uint16_t>();
    outcome.content_type = text(obj, "content_type");
    outcome.body_digest = number(obj, "digest");
    outcome.body_stored = obj.at("stored").as_bool();
    if (!absl::Base64Unescape(text(obj, "body"), &outcome.body))
    {
        throw std::invalid_argument{"the body is not base64"};
    }
    return outcome;
}

claim claim_of(const json::object& obj)
{
    claim value;
    value.account = account_id{number(obj, "account")};
    value.service = service_id{number(obj, "service")};
    value.key = text(obj, "key");
    value.fingerprint = number(obj, "fingerprint");
    const auto& attempt = obj.at("attempt").as_object();
    value.attempt = {instance_id{number(attempt, "origin")}, number(attempt, "epoch"),
                     number(attempt, "sequence")};
    value.state = state_of(text(obj, "state"));
    value.expires_unix_ms = number(obj, "expires_unix_ms");
    value.claimed_unix_ms = number(obj, "claimed_unix_ms");
    if (const auto* outcome = obj.if_contains("outcome"))
    {
        value.outcome = outcome_of(outcome->as_object());
    }
    return value;
}

} // namespace

std::string encode_claim(const claim& value)
{
    const auto state = state_names.at(static_cast<std::size_t>(value.state));
    json::object obj{{"account", value.account.value()},
                     {"service", value.service.value()},
                     {"key", value.key},
                     {"fingerprint", value.fingerprint},
                     {"attempt", json::object{{"origin", value.attempt.origin.value()},
                                              {"epoch", value.attempt.epoch},
                                              {"sequence", value.attempt.sequence}}},
                     {"state", json::string{state.data(), state.size()}},
                     {"expires_unix_ms", value.expires_unix_ms},
                     {"claimed_unix_ms", value.claimed_unix_ms}};
    if (value.outcome)
    {
        obj["outcome"] = outcome_value(*value.outcome);
    }
    return json::serialize(obj);
}

absl::StatusOr<claim> decode_claim(std::string_view text)
{
    try
    {
        return claim_of(json::parse({text.data(), text.size()}).as_object());
    }
    catch (const std::exception& ex)
    {
        return absl::DataLossError(absl::StrCat("malformed claim row: ", ex.what()));
    }
}

} // namespace mangovane

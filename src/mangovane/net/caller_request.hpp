// Maps an HTTP request of a caller to a routed request or to an error.
#ifndef MANGOVANE_NET_CALLER_REQUEST_HPP
#define MANGOVANE_NET_CALLER_REQUEST_HPP

#include <string>
#include <string_view>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/net/held_head.hpp"
#include "mangovane/routing/routed_request.hpp"
#include "mangovane/settings/snapshot.hpp"
#include <absl/status/statusor.h>

namespace mangovane
{

/// Names of HTTP headers exchanged between callers, instances and endpoints.
namespace header
{
inline constexpr const char* request = "Mangovane-Request";
inline constexpr const char* chat = "Mangovane-Chat";
inline constexpr const char* priority = "Mangovane-Class";
inline constexpr const char* deadline_ms = "Mangovane-Deadline-Ms";
inline constexpr const char* affinity = "Mangovane-Affinity";
inline constexpr const char* attempt = "Mangovane-Attempt";
inline constexpr const char* endpoint = "Mangovane-Endpoint";
inline constexpr const char* idempotency_key = "Idempotency-Key";
} // namespace header

/// A request accepted for routing.
struct caller_request
{
    routed_request routed;
    std::string account_name;
    std::string service_name;
    std::string endpoint_target; ///< Request target at the endpoint.
};

/// Authenticates and parses a request. The account is determined by the caller's key alone.
/// Errors: unauthenticated, unknown_service, malformed_request, deadline_invalid.
[[nodiscard]] absl::StatusOr<caller_request>
parse_caller_request(const held_head::request_head& head,
                     const std::string& body,
                     const settings_snapshot& settings,
                     time_point now);

/// Head of a request for its endpoint: without the caller's credentials and the fields of its
/// connection.
[[nodiscard]] held_head::request_head endpoint_head(const held_head& head,
                                                    const std::string& target);

/// Affinity token: ids of the endpoints that may have a chat's prompt prefix cached, most recent
/// first. Decoding returns no locations if the token is malformed.
[[nodiscard]] std::string encode_affinity(const chat_locations& locations);
[[nodiscard]] chat_locations decode_affinity(std::string_view token);

/// Text of an attempt id as sent in `Mangovane-Attempt`: origin, epoch and sequence in hexadecimal.
[[nodiscard]] std::string to_string(const attempt_id& id);

/// JSON body of an error response: kind, message, not_run, retry_safe and, unless 0, retry_after_s.
[[nodiscard]] std::string error_body(error_kind kind, std::string_view message);

} // namespace mangovane

#endif

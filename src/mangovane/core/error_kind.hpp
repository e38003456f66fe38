// Error kinds, and the response that a caller receives for each.
// Only kinds for requests that were certainly not run may set `not_run`: not sent to an endpoint,
// or rejected by it before it ran them.
#ifndef MANGOVANE_CORE_ERROR_KIND_HPP
#define MANGOVANE_CORE_ERROR_KIND_HPP

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include <absl/status/status.h>

namespace mangovane
{

enum class error_kind : std::uint8_t
{
    malformed_request,
    unauthenticated,
    forbidden,
    unknown_service,
    deadline_invalid,
    body_too_large,
    header_too_large,
    key_required,
    key_reused,
    in_progress,
    outcome_unknown,
    rate_limited,
    queue_full,
    overloaded,
    no_endpoint,
    prompt_quarantined,
    store_unavailable,
    not_ready,
    stopping,
    deadline_exceeded,
    deadline_exceeded_running,
    endpoint_failed,
    internal,
};

inline constexpr std::size_t error_kind_count = static_cast<std::size_t>(error_kind::internal) + 1;

/// Contents of the error response for a kind.
struct error_descriptor
{
    error_kind kind;
    std::string_view name;
    std::uint16_t http_status;
    bool not_run;    ///< The request was certainly not run: not sent, or rejected by the endpoint.
    bool retry_safe; ///< Repeating the request cannot run it twice.
    std::uint32_t retry_after_s; ///< Seconds to wait before a retry; 0: not sent.

    auto operator<=>(const error_descriptor&) const = default;
};

/// Descriptor of an error kind.
[[nodiscard]] const error_descriptor& descriptor_of(error_kind kind) noexcept;

/// Descriptors of all kinds, in the order of `error_kind`.
[[nodiscard]] const std::array<error_descriptor, error_kind_count>& error_descriptors() noexcept;

/// Returns a status with the error kind as its payload.
[[nodiscard]] absl::Status make_error(error_kind kind, std::string_view message);

/// Error kind of a status: `internal` if an error carries no known kind, no value if it is OK.
[[nodiscard]] std::optional<error_kind> kind_of(const absl::Status& status);

} // namespace mangovane

#endif

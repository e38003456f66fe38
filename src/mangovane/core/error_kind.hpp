// The closed list of error kinds and the table from kind to answer.
// Only kinds that are decided before the first byte to an endpoint may say "not run".
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
    store_unavailable,
    not_ready,
    deadline_exceeded,
    deadline_exceeded_running,
    endpoint_failed,
    internal,
};

inline constexpr std::size_t error_kind_count = static_cast<std::size_t>(error_kind::internal) + 1;

/// What a caller is told about an error.
struct error_descriptor
{
    error_kind kind;
    std::string_view name;
    std::uint16_t http_status;
    bool not_run;                ///< The request certainly did not reach an endpoint.
    bool retry_safe;             ///< Sending the same request again cannot run it twice.
    std::uint32_t retry_after_s; ///< Seconds; 0: no advice.

    auto operator<=>(const error_descriptor&) const = default;
};

/// Row of the table for a kind.
[[nodiscard]] const error_descriptor& descriptor_of(error_kind kind) noexcept;

/// The whole table, in order of the enumeration.
[[nodiscard]] const std::array<error_descriptor, error_kind_count>& error_descriptors() noexcept;

/// Status that carries an error kind in its payload.
[[nodiscard]] absl::Status make_error(error_kind kind, std::string_view message);

/// Kind carried by a status; `internal` for a foreign error, nothing for OK.
[[nodiscard]] std::optional<error_kind> kind_of(const absl::Status& status);

} // namespace mangovane

#endif

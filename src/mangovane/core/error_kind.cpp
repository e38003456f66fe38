// Table of error kinds, and their conversion to and from absl::Status.
#include "mangovane/core/error_kind.hpp"

#include <algorithm>
#include <string>

#include <absl/strings/cord.h>
#include <absl/strings/string_view.h>

namespace mangovane
{

namespace
{

constexpr std::array<error_descriptor, error_kind_count> table{{
    {error_kind::malformed_request, "malformed_request", 400, true, false, 0},
    {error_kind::unauthenticated, "unauthenticated", 401, true, false, 0},
    {error_kind::forbidden, "forbidden", 403, true, false, 0},
    {error_kind::unknown_service, "unknown_service", 404, true, false, 0},
    {error_kind::deadline_invalid, "deadline_invalid", 400, true, false, 0},
    {error_kind::body_too_large, "body_too_large", 413, true, false, 0},
    {error_kind::header_too_large, "header_too_large", 431, true, false, 0},
    {error_kind::key_required, "key_required", 428, true, false, 0},
    {error_kind::key_reused, "key_reused", 422, true, false, 0},
    {error_kind::in_progress, "in_progress", 409, false, false, 1},
    {error_kind::outcome_unknown, "outcome_unknown", 502, false, false, 0},
    {error_kind::rate_limited, "rate_limited", 429, true, true, 1},
    {error_kind::queue_full, "queue_full", 429, true, true, 1},
    {error_kind::overloaded, "overloaded", 503, true, true, 1},
    {error_kind::no_endpoint, "no_endpoint", 503, true, true, 1},
    {error_kind::prompt_quarantined, "prompt_quarantined", 503, true, true, 30},
    {error_kind::store_unavailable, "store_unavailable", 503, true, true, 2},
    {error_kind::not_ready, "not_ready", 503, true, true, 1},
    {error_kind::stopping, "stopping", 503, true, true, 1},
    {error_kind::deadline_exceeded, "deadline_exceeded", 504, true, true, 0},
    {error_kind::deadline_exceeded_running, "deadline_exceeded_running", 504, false, false, 0},
    {error_kind::endpoint_failed, "endpoint_failed", 502, false, false, 0},
    {error_kind::internal, "internal", 500, false, false, 0},
}};

constexpr bool is_in_enum_order()
{
    for (std::size_t n = 0; n != table.size(); ++n)
    {
        if (static_cast<std::size_t>(table[n].kind) != n)
        {
            return false;
        }
    }
    return true;
}
static_assert(is_in_enum_order(), "the rows must be in the order of error_kind");

constexpr absl::string_view payload_url = "mangovane/error_kind";

absl::StatusCode status_code_of(const error_descriptor& descriptor)
{
    return descriptor.http_status < 500 ? absl::StatusCode::kFailedPrecondition
                                        : absl::StatusCode::kUnavailable;
}

} // namespace

const error_descriptor& descriptor_of(error_kind kind) noexcept
{
    return table[static_cast<std::size_t>(kind)];
}

const std::array<error_descriptor, error_kind_count>& error_descriptors() noexcept
{
    return table;
}

absl::Status make_error(error_kind kind, std::string_view message)
{
    const auto& descriptor = descriptor_of(kind);
    absl::Status status{status_code_of(descriptor),
                        absl::string_view{message.data(), message.size()}};
    status.SetPayload(payload_url, absl::Cord{std::string{descriptor.name}});
    return status;
}

std::optional<error_kind> kind_of(const absl::Status& status)
{
    if (status.ok())
    {
        return std::nullopt;
    }
    const auto payload = status.GetPayload(payload_url);
    if (!payload)
    {
        return error_kind::internal;
    }
    const std::string name{*payload};
    const auto it = std::find_if(table.begin(), table.end(),
                                 [&](const error_descriptor& row) { return row.name == name; });
    return it == table.end() ? error_kind::internal : it->kind;
}

} // namespace mangovane

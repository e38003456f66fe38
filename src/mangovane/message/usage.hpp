// Message about the use of a service that has too little room, so that its room is shared among
// accounts over all instances.
#ifndef MANGOVANE_MESSAGE_USAGE_HPP
#define MANGOVANE_MESSAGE_USAGE_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "mangovane/core/id.hpp"

namespace mangovane
{

/// What an account has used of a service, in requests.
struct account_use
{
    account_id account;
    std::uint32_t requests{0};

    auto operator<=>(const account_use&) const = default;
};

/// Each instance to all others, while requests wait there for the service, and for a short time
/// after: the requests that it has sent since its previous report.
struct usage_report
{
    service_id service;
    std::vector<account_use> accounts; ///< At most `max_usage_accounts`, those with most use.

    auto operator<=>(const usage_report&) const = default;
};

inline constexpr std::size_t max_usage_accounts = 16;

/// Largest use of an account in one report. Messages with a larger value are invalid.
inline constexpr std::uint32_t max_reported_requests = 1'000'000;

} // namespace mangovane

#endif

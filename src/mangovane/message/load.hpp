// Messages about load: of an endpoint, asked before placing a new chat, and of a service, for its
// mean.
#ifndef MANGOVANE_MESSAGE_LOAD_HPP
#define MANGOVANE_MESSAGE_LOAD_HPP

#include <cstdint>
#include <vector>

#include "mangovane/core/id.hpp"

namespace mangovane
{

/// Any to owner: asks for the load of an endpoint. `ticket` is chosen by the asker and returned.
struct load_query
{
    std::uint64_t ticket{0};
    endpoint_id endpoint;

    auto operator<=>(const load_query&) const = default;
};

struct load_answer
{
    std::uint64_t ticket{0};
    endpoint_id endpoint;
    std::uint32_t in_flight{0};
    std::uint32_t queued{0};
    std::uint32_t allowed{
        0}; ///< 0: the endpoint takes no new work now, or the receiver is not its owner.

    auto operator<=>(const load_answer&) const = default;
};

/// Owner of endpoints to the summary owner of their service, each period.
struct load_report
{
    service_id service;
    std::uint32_t in_flight{0};       ///< Sum over the endpoints the sender owns.
    std::uint32_t ready_endpoints{0}; ///< Of those, the ones that take new work.
    std::uint32_t owned_endpoints{0};

    auto operator<=>(const load_report&) const = default;
};

/// Summary owner to owners of endpoints of the service, in answer to a report.
struct load_mean
{
    service_id service;
    std::uint32_t total_in_flight{0};
    std::uint32_t ready_endpoints{0};
    std::uint32_t known_endpoints{0}; ///< Endpoints that the sum covers.

    auto operator<=>(const load_mean&) const = default;
};

/// What one instance knows of one endpoint from its own requests.
struct endpoint_digest
{
    endpoint_id endpoint;
    std::uint16_t in_flight{0};
    std::uint8_t failures{0};  ///< Recent attempts that failed.
    std::uint8_t successes{0}; ///< Recent attempts that were answered.

    auto operator<=>(const endpoint_digest&) const = default;
};

/// Each instance to the others, each period: all endpoints at which it has requests or had some
/// recently. Replaces the sender's digest before.
struct load_digest
{
    std::vector<endpoint_digest> endpoints; ///< At most `max_digest_endpoints`.

    bool operator==(const load_digest&) const = default;
};

inline constexpr std::size_t max_digest_endpoints = 2048;

} // namespace mangovane

#endif

// Messages about load: of an endpoint, requested before a new chat is placed, and of a service, to
// compute its mean.
#ifndef MANGOVANE_MESSAGE_LOAD_HPP
#define MANGOVANE_MESSAGE_LOAD_HPP

#include <cstdint>
#include <vector>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Any instance to the owner of an endpoint: asks for its load. `ticket` is chosen by the sender
/// and repeated in the answer.
struct load_query
{
    std::uint64_t ticket{0};
    endpoint_id endpoint;

    auto operator<=>(const load_query&) const = default;
};

/// Owner of the endpoint to the sender of a `load_query`.
struct load_answer
{
    std::uint64_t ticket{0};
    endpoint_id endpoint;
    std::uint32_t in_flight{0};
    std::uint32_t queued{0};
    /// Bound on `in_flight`. 0: the endpoint accepts no new requests now, or the sender of the
    /// answer is not its owner.
    std::uint32_t allowed{0};

    auto operator<=>(const load_answer&) const = default;
};

/// Owner of endpoints to the instance that sums up the load of their service, once per period.
struct service_load_report
{
    service_id service;
    std::uint32_t in_flight{0};       ///< Sum over the endpoints the sender owns.
    std::uint32_t ready_endpoints{0}; ///< Those of them that accept new requests.
    std::uint32_t owned_endpoints{0};

    auto operator<=>(const service_load_report&) const = default;
};

/// Reply to a `service_load_report`: the sums over the service, from which the receiver computes
/// the mean load.
struct load_total
{
    service_id service;
    std::uint32_t total_in_flight{0};
    std::uint32_t ready_endpoints{0};
    std::uint32_t known_endpoints{0}; ///< Endpoints that the sum covers.

    auto operator<=>(const load_total&) const = default;
};

/// Load and results of one endpoint as one instance observes them in its own requests.
struct endpoint_digest
{
    endpoint_id endpoint;
    std::uint16_t in_flight{0};
    std::uint8_t failures{0};  ///< Recent attempts that failed.
    std::uint8_t successes{0}; ///< Recent attempts that got a response.
    /// Speed that the endpoint stated to the sender, in units of `speed_unit`; 0: none lately.
    std::uint8_t speed{0};
    std::uint8_t speed_age{0};    ///< Age of that statement, in units of `speed_age_unit`.
    std::uint16_t held_tokens{0}; ///< Of `in_flight`, in units of `held_tokens_unit`, rounded up.

    static constexpr double speed_unit = 0.02; ///< As a multiple of the usual speed.
    static constexpr milliseconds speed_age_unit{10};
    static constexpr std::uint64_t held_tokens_unit = 64;

    auto operator<=>(const endpoint_digest&) const = default;
};

/// Each instance to all others, once per period: all endpoints at which it has requests or had some
/// recently. Replaces the sender's previous digest.
struct load_digest
{
    std::vector<endpoint_digest> endpoints; ///< At most `max_digest_endpoints`.

    bool operator==(const load_digest&) const = default;
};

inline constexpr std::size_t max_digest_endpoints = 2048;

} // namespace mangovane

#endif

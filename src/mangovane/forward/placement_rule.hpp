// Rules that choose the endpoint of a service for a request, at instances that forward by routes.
// Strategy objects without sockets, clock or random source.
#ifndef MANGOVANE_FORWARD_PLACEMENT_RULE_HPP
#define MANGOVANE_FORWARD_PLACEMENT_RULE_HPP

#include <algorithm>
#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

#include <absl/functional/function_ref.h>

#include "mangovane/core/id.hpp"

namespace mangovane
{

/// An endpoint that accepts new requests.
struct placement_candidate
{
    endpoint_id endpoint;
    domain_id domain;
    std::uint32_t load{0}; ///< Requests in flight over all instances.
    bool avoided{false}; ///< Suspended, in a suspected domain, or fails more often than the others.
    /// Work that the endpoint does in the same time, as a multiple of the usual; above 0.
    double speed{1};
    bool can_hold{true};          ///< The request fits beside the tokens that the endpoint holds.
    std::uint64_t free_tokens{0}; ///< Where the capacity is known.

    auto operator<=>(const placement_candidate&) const = default;
};

/// Input of a placement rule.
struct placement_context
{
    std::span<const placement_candidate> candidates;
    /// Load bound: an endpoint at this load gets no request while another is below it.
    std::uint32_t allowed{0};
    std::uint64_t affinity{0};       ///< Hash of the shared prompt prefix; 0: none.
    std::uint64_t tie_break_seed{0}; ///< Orders candidates that are otherwise equal.
    domain_id own_domain;            ///< Failure domain of the instance.
    /// Requests that other instances are expected to have sent to the candidates since the loads
    /// were reported.
    double unreported{0};
};

/// Called for a candidate before it is chosen; false rules it out. A call may consume the
/// admission: a cold endpoint admits few requests.
using admission_filter = absl::FunctionRef<bool(const placement_candidate&)>;

class placement_rule
{
public:
    virtual ~placement_rule() = default;

    /// For operators.
    [[nodiscard]] virtual std::string_view name() const noexcept = 0;

    /// Position of the chosen candidate; nothing when none is admitted.
    [[nodiscard]] virtual std::optional<std::size_t> choose(const placement_context& context,
                                                            admission_filter admit) const = 0;
};

/// Sends requests that share a prefix to the same endpoint: the first in rendezvous order that is
/// below the load bound, or the least loaded when all are at the bound.
[[nodiscard]] const placement_rule& sticky_placement() noexcept;

/// Chooses the least loaded endpoint; on equal loads one in the instance's own failure domain.
[[nodiscard]] const placement_rule& least_loaded_placement() noexcept;

/// Chooses at random, so that instances with the same old knowledge of the loads do not all send
/// their requests to the same endpoint: an endpoint gets the share of requests that evens out the
/// loads, given what the others will have sent meanwhile (`expected_fill`). An endpoint that cannot
/// hold the request's tokens is chosen only if none can, the one with the most free tokens first.
[[nodiscard]] const placement_rule& even_placement() noexcept;

/// As `sticky_placement`, but leaves an endpoint that works much slower than the others or cannot
/// hold the request's tokens, and chooses as `even_placement` where it leaves the first endpoint.
[[nodiscard]] const placement_rule& sticky_even_placement() noexcept;

/// Load bound of an endpoint, computed from the mean load over all endpoints of the service.
struct load_bound
{
    double factor{2}; ///< Multiple of the mean load; at least 1.
    double extra{3};  ///< Requests allowed beyond that.

    /// Fraction of the bound that is used, because the digests of other instances lag.
    static constexpr double safety_factor = 0.92;

    /// Requests that an endpoint may have in flight; at least 1.
    [[nodiscard]] std::uint32_t allowed(double mean) const noexcept
    {
        return std::max(1U, static_cast<std::uint32_t>(safety_factor * (factor * mean + extra)));
    }

    auto operator<=>(const load_bound&) const = default;
};

} // namespace mangovane

#endif

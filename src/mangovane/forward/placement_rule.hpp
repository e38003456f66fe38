// Which endpoint of a service gets a request. Strategy objects; no sockets, clock or randomness.
#ifndef MANGOVANE_FORWARD_PLACEMENT_RULE_HPP
#define MANGOVANE_FORWARD_PLACEMENT_RULE_HPP

#include <algorithm>
#include <cstdint>
#include <optional>
#include <span>

#include <absl/functional/function_ref.h>

#include "mangovane/core/id.hpp"

namespace mangovane
{

/// An endpoint that takes new work.
struct placement_candidate
{
    endpoint_id endpoint;
    domain_id domain;
    std::uint32_t load{0}; ///< Requests in flight over all instances.
    bool avoided{false};   ///< Suspended, or fails more often than the others.

    auto operator<=>(const placement_candidate&) const = default;
};

/// What a rule decides on.
struct placement_context
{
    std::span<const placement_candidate> options;
    std::uint32_t allowed{0};  ///< Load at which an endpoint gets nothing more while others can.
    std::uint64_t affinity{0}; ///< Hash of what requests share; 0: nothing.
    std::uint64_t tie_break_seed{0}; ///< Source of chance for this decision.
    domain_id own_domain;
};

/// Asked for an option before it is chosen; false rules it out. A cold endpoint bears little, so
/// that its admission is used up by asking.
using admission_filter = absl::FunctionRef<bool(const placement_candidate&)>;

class placement_rule
{
public:
    virtual ~placement_rule() = default;

    /// Position of the chosen option; nothing when none is admitted.
    [[nodiscard]] virtual std::optional<std::size_t> choose(const placement_context& scene,
                                                            admission_filter admit) const = 0;
};

/// Requests that share a prefix go to the same endpoint, the first in rendezvous order below the
/// bound; when all are at the bound, to the least loaded.
[[nodiscard]] const placement_rule& sticky_placement() noexcept;

/// The least loaded endpoint, of the instance's own failure domain where loads are equal.
[[nodiscard]] const placement_rule& least_loaded_placement() noexcept;

/// Load at which an endpoint is left for another, from the mean load over all endpoints of the
/// service.
struct load_bound
{
    double factor{2}; ///< Of the mean; at least 1.
    double extra{3};  ///< Requests beyond that.

    /// Part of the bound that is used: digests of other instances lag.
    static constexpr double safety_factor = 0.92;

    [[nodiscard]] std::uint32_t allowed(double mean) const noexcept
    {
        return std::max(1U, static_cast<std::uint32_t>(safety_factor * (factor * mean + extra)));
    }

    auto operator<=>(const load_bound&) const = default;
};

} // namespace mangovane

#endif

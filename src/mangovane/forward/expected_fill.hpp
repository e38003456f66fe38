// Expected loads of a service's endpoints, from loads that are known late.
#ifndef MANGOVANE_FORWARD_EXPECTED_FILL_HPP
#define MANGOVANE_FORWARD_EXPECTED_FILL_HPP

#include <algorithm>
#include <cmath>
#include <span>

#include "mangovane/forward/placement_rule.hpp"

namespace mangovane
{

/// The level to which the endpoints are filled, in requests per unit of capacity, if the requests
/// that are not reported yet and one more are spread so that the loads become as even as possible.
/// Each request then goes to an endpoint in proportion to its `room`: least loaded if everything is
/// reported, close to random if much is not (Dahlin, "Interpreting Stale Load Information", 1999).
class expected_fill
{
public:
    expected_fill(std::span<const placement_candidate> candidates, double unreported) noexcept;

    [[nodiscard]] double level() const noexcept { return level_; }

    /// Requests that the endpoint can be given up to the level; 0 if it is above.
    [[nodiscard]] double room(const placement_candidate& it) const noexcept
    {
        return std::max(0.0, level_ * capacity(it) - it.load);
    }

    /// Weight of an endpoint's speed. More than in proportion: a request at a slow endpoint takes
    /// longer even if the endpoint has nothing else to do.
    [[nodiscard]] static double capacity(const placement_candidate& it) noexcept
    {
        // Most endpoints work at the usual speed, and the square root is a large part of the cost.
        return it.speed == 1 ? 1 : it.speed * std::sqrt(it.speed);
    }

private:
    double level_{0};
};

} // namespace mangovane

#endif

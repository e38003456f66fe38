// Implementation of the expected fill.
#include "mangovane/forward/expected_fill.hpp"

#include <limits>

namespace mangovane
{

expected_fill::expected_fill(std::span<const placement_candidate> candidates,
                             double unreported) noexcept
    : level_{std::numeric_limits<double>::max()}
{
    // Each round leaves out the endpoints above the level of the round before, so the level falls
    // until it no longer changes; it takes a few rounds.
    for (double before = 0; level_ != before;)
    {
        before = level_;
        double requests = unreported + 1;
        double capacities = 0;
        for (const auto& it : candidates)
        {
            if (it.load < before * capacity(it))
            {
                requests += it.load;
                capacities += capacity(it);
            }
        }
        level_ = capacities > 0 ? std::min(before, requests / capacities) : 0;
    }
}

} // namespace mangovane

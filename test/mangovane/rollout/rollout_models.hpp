// Responses of sound and bad versions, and the promises about a bad one.
#ifndef MANGOVANE_TEST_ROLLOUT_ROLLOUT_MODELS_HPP
#define MANGOVANE_TEST_ROLLOUT_ROLLOUT_MODELS_HPP

#include <algorithm>

#include <doctest/doctest.h>

#include "rollout_fleet.hpp"

namespace mangovane::test
{

inline constexpr double bad_rate = 0.3;

/// The usual response: few failures, first bytes around 100 ms.
inline simulated_response usual(const response_context& it)
{
    return {it.random < 0.005, milliseconds{60 + static_cast<int>(80 * it.random)}};
}

inline simulated_response failing(const response_context& it)
{
    auto result = usual(it);
    result.failed = it.random < bad_rate;
    return result;
}

inline simulated_response slow(const response_context& it)
{
    auto result = usual(it);
    result.first_byte *= it.random < bad_rate ? 5 : 1;
    return result;
}

inline bool is_ordered(const response_context& it)
{
    return it.side == version_side::ordered;
}

/// The promises that hold for any bad version.
inline void check_bad_version(rollout_fleet& fleet)
{
    fleet.play_until(1);
    CHECK(fleet.all(rollout_state::rolled_back));
    const auto& policy = rollout_fleet::policy;
    const double allowed =
        policy.canary_share * static_cast<double>(fleet.requests()) + policy.canary_tolerance;
    CHECK(static_cast<double>(fleet.ordered_requests()) <= allowed);
    if (fleet.fiftieth_bad_at())
    {
        CHECK(*fleet.last_ordered_at() <= *fleet.fiftieth_bad_at() + policy.rollback_time);
    }
}

} // namespace mangovane::test

#endif

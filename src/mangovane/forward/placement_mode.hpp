// Which placement rules an instance uses, as an operator sets it.
#ifndef MANGOVANE_FORWARD_PLACEMENT_MODE_HPP
#define MANGOVANE_FORWARD_PLACEMENT_MODE_HPP

#include <array>
#include <compare>
#include <cstdint>
#include <string_view>

namespace mangovane
{

/// Where load is spread by the even rules. Other requests use the least loaded and the sticky rule.
enum class placement_mode : std::uint8_t
{
    least_loaded, ///< Nowhere.
    even,         ///< For all requests.
    /// For all requests as soon as endpoints of any service state their speed: the services of a
    /// deployment share their machines. Nowhere before.
    reported,
    /// For requests without a prompt prefix. Herding is worst at services with few slots and no
    /// prefixes; with a prefix, spreading by speed would move it between endpoints and domains.
    plain,
};

inline constexpr std::size_t placement_mode_count = 4;

/// What a mode does.
struct placement_policy
{
    std::string_view name;        ///< In options.
    bool spreads_prefixes{false}; ///< Requests with a prompt prefix are spread evenly.
    bool spreads_others{false};   ///< Requests without one are.
    bool needs_speed{false};      ///< Only once a speed has been stated.
    bool uses_speed{false};       ///< Speeds are kept, passed on and weigh in the choice.
    bool counts_tokens{false};    ///< So are the tokens that endpoints hold.

    /// Whether the even rules choose for a request.
    [[nodiscard]] constexpr bool spreads(bool has_prefix, bool speed_stated) const noexcept
    {
        return (has_prefix ? spreads_prefixes : spreads_others) && (speed_stated || !needs_speed);
    }

    auto operator<=>(const placement_policy&) const = default;
};

/// By mode.
inline constexpr std::array<placement_policy, placement_mode_count> placement_policies{{
    {"least-loaded", false, false, false, false, false},
    {"even", true, true, false, true, true},
    {"reported", true, true, true, true, true},
    {"plain", false, true, false, false, false},
}};

[[nodiscard]] constexpr const placement_policy& policy_of(placement_mode mode) noexcept
{
    return placement_policies[static_cast<std::size_t>(mode)];
}

} // namespace mangovane

#endif

// Times at which a router, the store, the endpoints or the whole machine were disturbed. Invariants
// with a time bound are checked only outside these times.
#ifndef MANGOVANE_SOAK_OUTAGE_LOG_HPP
#define MANGOVANE_SOAK_OUTAGE_LOG_HPP

#include <algorithm>
#include <compare>
#include <cstddef>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane::soak
{

/// Component that an outage affects: the number of a router, `endpoint_component`, or one of the
/// constants.
using disturbed_component = std::size_t;

constexpr disturbed_component store_component = static_cast<disturbed_component>(-1);
constexpr disturbed_component endpoints_component =
    static_cast<disturbed_component>(-2); ///< Any of the endpoints.
constexpr disturbed_component machine_component =
    static_cast<disturbed_component>(-3); ///< Affects all other components.

constexpr disturbed_component first_endpoint_component = 1000;

/// One endpoint, by its number.
[[nodiscard]] constexpr disturbed_component endpoint_component(std::size_t number) noexcept
{
    return first_endpoint_component + number;
}

/// Whether `asked` is disturbed by an outage of `affected`, other than of the whole machine.
[[nodiscard]] constexpr bool covers(disturbed_component affected,
                                    disturbed_component asked) noexcept
{
    const auto is_endpoint = [](disturbed_component it) {
        return (it >= first_endpoint_component && it < machine_component) ||
               it == endpoints_component;
    };
    const bool any = affected == endpoints_component || asked == endpoints_component;
    return affected == asked || (any && is_endpoint(affected) && is_endpoint(asked));
}

/// A disturbance. Planned ones are requested stops and changes by the operator.
struct outage
{
    disturbed_component affected{machine_component};
    time_point from{};
    time_point until{time_point::max()}; ///< `max` while the outage lasts.
    bool planned{false};

    auto operator<=>(const outage&) const = default;
};

class outage_log
{
public:
    /// Returns the number to pass to `end`.
    std::size_t begin(disturbed_component affected, bool planned, time_point now)
    {
        outages_.push_back({affected, now, time_point::max(), planned});
        return outages_.size() - 1;
    }

    void end(std::size_t number, time_point now) { outages_[number].until = now; }

    /// Whether no outage of the component overlaps the time span. Planned ones count only if
    /// `include_planned`.
    [[nodiscard]] bool undisturbed(disturbed_component affected,
                                   time_point from,
                                   time_point until,
                                   bool include_planned) const
    {
        return std::none_of(outages_.begin(), outages_.end(),
                            [&](const outage& it)
                            {
                                const bool applies = covers(it.affected, affected) ||
                                                     it.affected == machine_component;
                                const bool counts = include_planned || !it.planned;
                                return applies && counts && it.from <= until && it.until >= from;
                            });
    }

    /// Whether the component itself had no unplanned outage in the time span. Outages of the whole
    /// machine delay a component but don't end its connections, so they are left out.
    [[nodiscard]] bool sound(disturbed_component affected, time_point from, time_point until) const
    {
        return std::none_of(outages_.begin(), outages_.end(),
                            [&](const outage& it) {
                                return covers(it.affected, affected) && !it.planned &&
                                       it.from <= until && it.until >= from;
                            });
    }

    /// Whether no outage overlaps the time span.
    [[nodiscard]] bool all_undisturbed(time_point from, time_point until) const
    {
        return std::none_of(outages_.begin(), outages_.end(),
                            [&](const outage& it) { return it.from <= until && it.until >= from; });
    }

    /// Whether a router and the store were undisturbed from `settle_margin` before the time span
    /// on, so that bounds on the router's reaction time apply.
    [[nodiscard]] bool settled(disturbed_component router, time_point from, time_point until) const
    {
        const auto begin = from - settle_margin;
        return undisturbed(router, begin, until, true) &&
               undisturbed(store_component, begin, until, true);
    }

    static constexpr milliseconds settle_margin{3000};

private:
    std::vector<outage> outages_;
};

} // namespace mangovane::soak

#endif

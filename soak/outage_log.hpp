// When a router, the store, or the whole machine was disturbed: promises with a time bound hold
// only where nothing was.
#ifndef MANGOVANE_SOAK_OUTAGE_LOG_HPP
#define MANGOVANE_SOAK_OUTAGE_LOG_HPP

#include <algorithm>
#include <compare>
#include <cstddef>
#include <vector>

#include "mangovane/core/time.hpp"

namespace mangovane::soak
{

/// What a disturbance is about: a router by its number, or one of the constants.
using subject = std::size_t;

constexpr subject the_store = static_cast<subject>(-1);
constexpr subject the_endpoints = static_cast<subject>(-2);
constexpr subject everything = static_cast<subject>(-3); ///< The machine itself.

/// A disturbance. Planned ones are a request to stop or a change by the operator.
struct outage
{
    subject about{everything};
    time_point from{};
    time_point until{time_point::max()}; ///< `max` while it lasts.
    bool planned{false};

    auto operator<=>(const outage&) const = default;
};

class outage_log
{
public:
    /// Returns a number by which the disturbance is ended.
    std::size_t begin(subject about, bool planned, time_point now)
    {
        outages_.push_back({about, now, time_point::max(), planned});
        return outages_.size() - 1;
    }

    void end(std::size_t number, time_point now) { outages_[number].until = now; }

    /// Whether the subject was left alone in the whole time, planned disturbances included or not.
    [[nodiscard]] bool calm(subject about, time_point from, time_point until, bool planned) const
    {
        return std::none_of(outages_.begin(), outages_.end(),
                            [&](const outage& it)
                            {
                                const bool applies = it.about == about || it.about == everything;
                                const bool counts = planned || !it.planned;
                                return applies && counts && it.from <= until && it.until >= from;
                            });
    }

    /// Whether nothing at all was disturbed.
    [[nodiscard]] bool quiet(time_point from, time_point until) const
    {
        return std::none_of(outages_.begin(), outages_.end(),
                            [&](const outage& it) { return it.from <= until && it.until >= from; });
    }

    /// Whether a router and the store were left alone from `contact_time` before the time span on,
    /// so that bounds on the router's reaction hold.
    [[nodiscard]] bool in_touch(subject router, time_point from, time_point until) const
    {
        const auto begin = from - contact_time;
        return calm(router, begin, until, true) && calm(the_store, begin, until, true);
    }

    static constexpr milliseconds contact_time{3000};

private:
    std::vector<outage> outages_;
};

} // namespace mangovane::soak

#endif

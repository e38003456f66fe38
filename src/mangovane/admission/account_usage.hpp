// Use of a service by each account in the recent past.
#ifndef MANGOVANE_ADMISSION_ACCOUNT_USAGE_HPP
#define MANGOVANE_ADMISSION_ACCOUNT_USAGE_HPP

#include <algorithm>
#include <cmath>
#include <limits>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Decays, so that an account is charged for its burst and not for its past. Not thread-safe.
class account_usage
{
public:
    void charge(account_id account, double cost, time_point now)
    {
        entries_[account] = {of(account, now) + cost, now};
    }

    /// An account that has not used the service lately starts with the least use of the others, so
    /// that it is not before them for a time.
    [[nodiscard]] double of(account_id account, time_point now) const
    {
        const auto it = entries_.find(account);
        return it == entries_.end() ? least(now) : decayed(it->second, now);
    }

    /// Drops accounts whose use no longer matters.
    void expire(time_point now)
    {
        absl::erase_if(entries_,
                       [&](const auto& it) { return decayed(it.second, now) < min_usage; });
    }

private:
    struct entry
    {
        double usage{0};
        time_point at{};
    };

    /// Time in which usage falls to 1/e: several times the longest wait, so that what an account
    /// used just before a shortage counts.
    static constexpr seconds decay_time{10};
    static constexpr double min_usage = 0.01;

    [[nodiscard]] static double decayed(const entry& it, time_point now)
    {
        const std::chrono::duration<double> age = now - it.at;
        const std::chrono::duration<double> time = decay_time;
        return it.usage * std::exp(-std::max(0.0, age / time));
    }

    [[nodiscard]] double least(time_point now) const
    {
        double result = entries_.empty() ? 0 : std::numeric_limits<double>::max();
        for (const auto& [account, it] : entries_)
        {
            result = std::min(result, decayed(it, now));
        }
        return result;
    }

    absl::flat_hash_map<account_id, entry> entries_;
};

} // namespace mangovane

#endif

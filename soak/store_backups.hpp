// Copies of the store, from which it can come back older.
#ifndef MANGOVANE_SOAK_STORE_BACKUPS_HPP
#define MANGOVANE_SOAK_STORE_BACKUPS_HPP

#include <algorithm>
#include <deque>
#include <utility>

#include "mangovane/core/time.hpp"
#include "standin/fleet_store.hpp"

namespace mangovane::soak
{

/// A copy of the store and the time at which it was taken.
struct store_backup
{
    time_point at{};
    standin::store_copy contents;

    auto operator<=>(const store_backup&) const = default;
};

class store_backups
{
public:
    /// Keeps a copy if one is due.
    void advance(const standin::fleet_store& store, time_point now)
    {
        if (!backups_.empty() && now < backups_.back().at + period)
        {
            return;
        }
        backups_.push_back({now, store.copy()});
        while (backups_.front().at + retention < now)
        {
            backups_.pop_front();
        }
    }

    /// The newest copy that was taken at `at` or before, otherwise the oldest one. Requires that
    /// `advance` was called before.
    [[nodiscard]] const store_backup& taken_by(time_point at) const
    {
        const auto later = std::find_if(backups_.begin(), backups_.end(),
                                        [&](const store_backup& it) { return it.at > at; });
        return later == backups_.begin() ? *later : *std::prev(later);
    }

    static constexpr milliseconds period{100};
    /// Oldest copy from which the store comes back, with the time for which it is down before.
    static constexpr milliseconds retention{7000};

private:
    std::deque<store_backup> backups_; ///< Ordered by time.
};

} // namespace mangovane::soak

#endif

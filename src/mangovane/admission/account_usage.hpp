// Use of a service by each account in the recent past.
#ifndef MANGOVANE_ADMISSION_ACCOUNT_USAGE_HPP
#define MANGOVANE_ADMISSION_ACCOUNT_USAGE_HPP

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <tuple>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/message/usage.hpp"

namespace mangovane
{

/// Decays, so that an account is charged for its burst and not for its past. Not thread-safe.
class account_usage
{
public:
    /// Charges what this instance has sent.
    void charge(account_id account, double cost, time_point now)
    {
        auto& it = add(account, cost, now);
        for (auto& unreported : it.unreported)
        {
            unreported += cost;
        }
    }

    /// Charges what another instance has reported. Accounts that are new start alike, whatever
    /// their order in the report.
    void charge(const usage_report& report, time_point now)
    {
        expire(now);
        const double start = least(now);
        for (const auto& it : report.accounts)
        {
            auto& known = entries_.try_emplace(it.account, entry{start, now, {}}).first->second;
            known.usage = decayed(known, now) + it.requests;
            known.at = now;
        }
    }

    /// Use by requests of this instance since the last call with the same argument, of the accounts
    /// with most of it. What is left out is kept for the next call.
    [[nodiscard]] std::vector<account_use> take_unreported(bool same_domain, time_point now)
    {
        expire(now);
        std::vector<account_use> result;
        for (const auto& [account, it] : entries_)
        {
            // What has decayed here counts no more elsewhere.
            const auto requests = std::round(std::min<double>(
                std::min(it.unreported[same_domain], decayed(it, now)), max_reported_requests));
            if (requests >= 1)
            {
                result.push_back({account, static_cast<std::uint32_t>(requests)});
            }
        }
        std::sort(
            result.begin(), result.end(),
            [](const account_use& lhs, const account_use& rhs)
            { return std::tie(rhs.requests, lhs.account) < std::tie(lhs.requests, rhs.account); });
        result.resize(std::min(result.size(), max_usage_accounts));
        for (const auto& it : result)
        {
            auto& left = entries_[it.account].unreported[same_domain];
            left -= std::min<double>(left, it.requests);
        }
        return result;
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
        /// By requests of this instance; to other domains and to the own one.
        std::array<double, 2> unreported{};
    };

    /// Time in which usage falls to 1/e: several times the longest wait, so that what an account
    /// used just before a shortage counts.
    static constexpr seconds decay_time{10};
    static constexpr double min_usage = 0.01;

    entry& add(account_id account, double cost, time_point now)
    {
        const double usage = of(account, now) + cost;
        auto& it = entries_[account];
        it.usage = usage;
        it.at = now;
        return it;
    }

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

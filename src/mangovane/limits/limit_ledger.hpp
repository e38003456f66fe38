// Rate and concurrency limits of one settings node: the ledger at the owner, and the lease at each
// instance that uses them.
#ifndef MANGOVANE_LIMITS_LIMIT_LEDGER_HPP
#define MANGOVANE_LIMITS_LIMIT_LEDGER_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/message/limit.hpp"
#include "mangovane/settings/policy.hpp"

namespace mangovane
{

/// Duration of a lease: unused tokens expire after this time.
inline constexpr milliseconds limit_lease_time{1000};
/// Each lease request covers the use of this interval. While grants are smaller than requested, an
/// instance sends at most one lease request per interval.
inline constexpr milliseconds limit_request_interval{200};

/// Concurrency of one instance under leases that may overlap. A smaller lease does not end an
/// earlier larger one: the grant of the smaller one can be lost, and the instance then continues
/// under the earlier lease.
class concurrency_leases
{
public:
    /// Adds a lease that ends at `until`.
    void add(std::uint32_t concurrency, time_point until);

    /// Concurrency of the largest lease that has not expired.
    [[nodiscard]] std::uint32_t live(time_point now) const noexcept;

    /// Latest end of all leases.
    [[nodiscard]] time_point until() const noexcept;

    /// Drops expired leases; true when none is left.
    bool expire(time_point now);

private:
    struct lease
    {
        std::uint32_t concurrency{0};
        time_point until;

        auto operator<=>(const lease&) const = default;
    };

    std::vector<lease> leases_; ///< Ordered: `concurrency` decreases and `until` increases.
};

/// Owner side: a token bucket for the rate, and the concurrency leased to each instance.
class limit_ledger
{
public:
    /// `owned_since` is the time at which this instance became the owner of the node. The bucket
    /// starts empty, because a new owner does not know what the previous owner leased. No
    /// concurrency is leased until the leases of the previous owner have expired.
    explicit limit_ledger(time_point owned_since);

    /// Grants tokens and concurrency, each possibly less than requested.
    [[nodiscard]] limit_grant
    request(instance_id holder, const limit_request& msg, const limit_rule& rule, time_point now);

    /// Drops instances whose leases have expired.
    void expire(time_point now);

private:
    void refill(const limit_rule& rule, time_point now);
    std::uint32_t take_tokens(std::uint32_t wanted, const limit_rule& rule);
    std::uint32_t lease_concurrency(instance_id holder,
                                    std::uint32_t wanted,
                                    const limit_rule& rule,
                                    time_point now);

    double tokens_{0};       ///< Between 0 and the capacity of the bucket.
    time_point refilled_at_; ///< Time of the last refill.
    time_point lease_start_; ///< No concurrency is leased before this time.
    /// The sum of the live leases never exceeds the rule in force when they were granted.
    absl::flat_hash_map<instance_id, concurrency_leases> holder_leases_;
};

/// User side: tokens and concurrency of a node that this instance may use before its next request.
class limit_lease
{
public:
    /// Takes one token and one unit of concurrency for a request; false when the lease does not
    /// cover it.
    [[nodiscard]] bool try_acquire(const limit_rule& rule, time_point now);

    /// Returns the concurrency of a request that has ended.
    void release() noexcept;

    /// Applies the grant for a request that was sent at `requested_at`.
    void on_grant(const limit_grant& msg, time_point requested_at);

    /// The next request to the owner; nothing while the lease suffices or a request is not due yet.
    [[nodiscard]] std::optional<limit_request> next_request(const limit_rule& rule, time_point now);

    /// Applies a local share while the owner is unreachable: rate and concurrency divided by the
    /// number of instances. No effect while the lease is valid.
    void use_local_share(const limit_rule& rule,
                         std::size_t rank,
                         std::size_t instances,
                         time_point now);

    /// Requests acquired and not released.
    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }

    /// Number of concurrent requests under the leases that have not expired. Requests acquired
    /// under an expired lease continue and can exceed it.
    [[nodiscard]] std::uint32_t concurrency(time_point now) const noexcept
    {
        return concurrency_.live(now);
    }

private:
    [[nodiscard]] std::uint32_t tokens(time_point now) const noexcept;
    [[nodiscard]] std::uint32_t recent_use(time_point now) const noexcept;
    [[nodiscard]] bool may_request(time_point now) const noexcept;

    std::uint32_t tokens_{0};
    std::uint32_t running_{0};
    std::uint32_t used_{0};    ///< Requests acquired since the last request to the owner.
    std::uint32_t refused_{0}; ///< Requests not covered by the lease since then.
    time_point lease_until_{}; ///< Tokens expire at this time.
    time_point requested_at_{};
    bool granted_in_full_{true}; ///< The last request to the owner was granted in full.
    concurrency_leases concurrency_;
    std::uint32_t requested_tokens_{0};      ///< In the last request to the owner.
    std::uint32_t requested_concurrency_{0}; ///< In the last request to the owner.
};

} // namespace mangovane

#endif

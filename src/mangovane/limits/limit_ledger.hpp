// Rate and concurrency of one settings node at its owner, and the lease of them at an instance that
// uses them.
#ifndef MANGOVANE_LIMITS_LIMIT_LEDGER_HPP
#define MANGOVANE_LIMITS_LIMIT_LEDGER_HPP

#include <cstdint>
#include <optional>

#include <absl/container/flat_hash_map.h>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/message/limit.hpp"
#include "mangovane/settings/policy.hpp"

namespace mangovane
{

/// Time in which leased tokens have to be used.
inline constexpr milliseconds limit_lease_time{1000};

/// Owner side: a token bucket for the rate, and the sum of concurrency leased to each instance.
class limit_ledger
{
public:
    /// Starts with an empty bucket: a new owner does not know what its predecessor leased.
    explicit limit_ledger(time_point now);

    [[nodiscard]] limit_grant
    request(instance_id holder, const limit_request& msg, const limit_rule& rule, time_point now);

    /// Forgets instances whose lease has run out.
    void expire(time_point now);

private:
    struct share
    {
        std::uint32_t running{0};
        time_point lease_until;
    };

    double tokens_{0};       ///< Between 0 and the rule's burst.
    time_point refilled_at_; ///< Tokens are counted up to here.
    absl::flat_hash_map<instance_id, share> shares_;
};

/// User side: what this instance may still use of a node before it asks again.
class limit_lease
{
public:
    /// Takes one token and one unit of concurrency; false when the lease does not cover it.
    [[nodiscard]] bool try_acquire(const limit_rule& rule, time_point now);

    /// Ends a request that was acquired.
    void release() noexcept;

    /// Takes over an answer of the owner to a request that was sent at `asked_at`.
    void on_grant(const limit_grant& msg, time_point asked_at);

    /// What to ask the owner for; nothing when the lease still suffices.
    [[nodiscard]] std::optional<limit_request> wanted(const limit_rule& rule, time_point now);

    /// Uses a local share while the owner is unreachable: rate and concurrency divided by
    /// instances.
    void use_local_share(const limit_rule& rule,
                         std::size_t rank,
                         std::size_t instances,
                         time_point now);

    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }

private:
    std::uint32_t tokens_{0};
    std::uint32_t concurrency_{0};
    std::uint32_t running_{0};
    std::uint32_t refused_{0}; ///< Requests that found no token since the last question.
    time_point lease_until_{}; ///< Tokens are void after this.
    time_point asked_at_{};
};

} // namespace mangovane

#endif

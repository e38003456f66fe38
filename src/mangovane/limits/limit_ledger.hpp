// Rate and concurrency of one settings node at its owner, and the lease of them at an instance that
// uses them.
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

/// Time in which leased tokens have to be used.
inline constexpr milliseconds limit_lease_time{1000};
/// An instance asks for what it used in this time, and asks at most once in it while the owner
/// grants less than was wanted.
inline constexpr milliseconds limit_request_interval{200};

/// Concurrency of one instance under leases that may overlap. A smaller lease does not end an
/// earlier larger one: its answer can be lost, and the instance then goes on under the earlier one.
class concurrency_leases
{
public:
    void add(std::uint32_t concurrency, time_point until);

    /// The largest lease that is still running.
    [[nodiscard]] std::uint32_t live(time_point now) const noexcept;

    /// End of the lease that runs longest.
    [[nodiscard]] time_point until() const noexcept;

    /// Forgets leases that have run out; true when none is left.
    bool expire(time_point now);

private:
    struct lease
    {
        std::uint32_t concurrency{0};
        time_point until;

        auto operator<=>(const lease&) const = default;
    };

    std::vector<lease> leases_; ///< Concurrency falls and `until` rises from one to the next.
};

/// Owner side: a token bucket for the rate, and the sum of concurrency leased to each instance.
class limit_ledger
{
public:
    /// `owned_since`: when this instance became the owner of the node. The bucket was empty then,
    /// because a new owner does not know what its predecessor leased. No concurrency is leased
    /// until the leases of the predecessor have run out.
    explicit limit_ledger(time_point owned_since);

    [[nodiscard]] limit_grant
    request(instance_id holder, const limit_request& msg, const limit_rule& rule, time_point now);

    /// Forgets instances whose lease has run out.
    void expire(time_point now);

private:
    void refill(const limit_rule& rule, time_point now);
    std::uint32_t take_tokens(std::uint32_t wanted, const limit_rule& rule);
    std::uint32_t lease_concurrency(instance_id holder,
                                    std::uint32_t wanted,
                                    const limit_rule& rule,
                                    time_point now);

    double tokens_{0};       ///< Between 0 and the rule's burst.
    time_point refilled_at_; ///< Tokens are counted up to here.
    time_point leases_from_; ///< No concurrency is leased before.
    /// The sum of the live leases never exceeds the rule in force when they were given.
    absl::flat_hash_map<instance_id, concurrency_leases> shares_;
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
    [[nodiscard]] std::optional<limit_request> next_request(const limit_rule& rule, time_point now);

    /// Uses a local share while the owner is unreachable: rate and concurrency divided by
    /// instances.
    void use_local_share(const limit_rule& rule,
                         std::size_t rank,
                         std::size_t instances,
                         time_point now);

    [[nodiscard]] std::uint32_t running() const noexcept { return running_; }

    /// Requests that may run at once under the leases that still run. Requests that were acquired
    /// under a lease that has run out go on and can exceed it.
    [[nodiscard]] std::uint32_t concurrency(time_point now) const noexcept
    {
        return concurrency_.live(now);
    }

private:
    [[nodiscard]] std::uint32_t tokens(time_point now) const noexcept;
    [[nodiscard]] std::uint32_t recent_use(time_point now) const noexcept;
    [[nodiscard]] bool may_ask(time_point now) const noexcept;

    std::uint32_t tokens_{0};
    std::uint32_t running_{0};
    std::uint32_t used_{0};    ///< Requests acquired since the last question.
    std::uint32_t refused_{0}; ///< Requests that found no room since the last question.
    time_point lease_until_{}; ///< Tokens are void after this.
    time_point asked_at_{};
    bool satisfied_{true}; ///< The last question was answered in full.
    concurrency_leases concurrency_;
    std::uint32_t asked_tokens_{0};      ///< Of the last question.
    std::uint32_t asked_concurrency_{0}; ///< Of the last question.
};

} // namespace mangovane

#endif

// Queue in front of one service at this instance. Answers a load for which the service has too
// little room at times: who is sent, who waits and who is refused.
//
// The most urgent request goes first, and among equals that of the account that has used the
// service least, so a burst is paid for by the account that causes it. What cannot start in time is
// refused at once, on entry and again when its turn comes.
#ifndef MANGOVANE_ADMISSION_ADMISSION_QUEUE_HPP
#define MANGOVANE_ADMISSION_ADMISSION_QUEUE_HPP

#include <optional>
#include <vector>

#include "mangovane/admission/account_usage.hpp"
#include "mangovane/admission/admission_policy.hpp"
#include "mangovane/admission/admission_request.hpp"
#include "mangovane/admission/refused_requests.hpp"

namespace mangovane
{

/// The end of a request's wait.
struct admission_outcome
{
    std::uint64_t ticket{0};
    admission_decision decision;

    auto operator<=>(const admission_outcome&) const = default;
};

/// Not thread-safe. Between two calls, room that becomes free is counted at this instance's share
/// of the service's completions, so that all instances together send no more than that.
class admission_queue
{
public:
    /// `seed` differs between instances and spreads the times at which refused callers return.
    admission_queue(const admission_policy& policy, std::uint64_t seed, time_point now)
        : policy_{policy}, seed_{seed}, counted_at_{now}
    {}

    /// Decides on a request that arrives.
    [[nodiscard]] admission_decision
    admit(const admission_request& request, const admission_room& room, time_point now);

    /// Requests whose wait ends now: sent, in their order, or refused.
    [[nodiscard]] std::vector<admission_outcome> release(const admission_room& room,
                                                         time_point now);

    /// Sends all requests that wait, in their order of arrival: their service is not restricted any
    /// more.
    [[nodiscard]] std::vector<admission_outcome> release_all();

    /// Refuses a request that has waited as long as it can; nothing if it does not wait any more.
    [[nodiscard]] std::optional<admission_decision>
    expire(std::uint64_t ticket, const admission_room& room, time_point now);

    /// The caller of a waiting request has left, or the request is answered otherwise.
    /// Returns whether the request was waiting.
    bool remove(std::uint64_t ticket);

    /// What each account has used, over all instances.
    [[nodiscard]] account_usage& usage() noexcept { return usage_; }

    /// Whether no request waits and no outcome is to be reported.
    [[nodiscard]] bool idle() const noexcept { return waiting_.empty() && displaced_.empty(); }
    [[nodiscard]] std::size_t waiting() const noexcept { return waiting_.size(); }
    [[nodiscard]] std::uint64_t waiting_bytes() const noexcept { return bytes_; }

    /// Of this many requests that are sent from the queue, one is of the least urgent kind that
    /// waits, so that it makes progress under any load.
    static constexpr std::uint32_t floor_interval = 10;

    /// The delay advised to a refused caller is at least this,
    static constexpr milliseconds min_retry_delay{100};

    /// and at most this: room that is expected later is a guess.
    static constexpr milliseconds max_retry_delay{5000};

private:
    using position = std::vector<admission_request>::iterator;

    /// Counts the room that has become free since the last call.
    void earn(const admission_room& room, time_point now);
    /// Takes room for one request: known room, which is counted down, or earned room.
    [[nodiscard]] bool try_spend(double& known) noexcept;

    /// Whether the first goes before the second.
    [[nodiscard]] bool
    precedes(const admission_request& lhs, const admission_request& rhs, time_point now) const;
    /// The urgency of the least urgent request that waits.
    [[nodiscard]] std::uint8_t least_urgent_kind() const;
    [[nodiscard]] position next(time_point now);
    /// The most urgent kind leaves a few places to the others.
    [[nodiscard]] std::size_t places_for(const admission_request& request) const;
    /// The request that gives up its place to this one: the last of a less urgent kind, but not the
    /// last few of the least urgent, or of an account with more requests of the same kind. The end
    /// if there is none.
    [[nodiscard]] position displaceable(const admission_request& request);

    /// When a request with this many others before it can be sent.
    [[nodiscard]] time_point
    expected_start(std::size_t ahead, const admission_room& room, time_point now) const;
    /// Requests that are sent before this one if no others arrive.
    [[nodiscard]] std::size_t count_before(const admission_request& request, time_point now) const;

    [[nodiscard]] admission_decision refusal(admission_reason reason,
                                             std::uint64_t ticket,
                                             const admission_room& room,
                                             time_point now) const;
    /// The same, and remembers the request.
    [[nodiscard]] admission_decision refuse(const admission_request& request,
                                            admission_reason reason,
                                            const admission_room& room,
                                            time_point now);
    /// Decides on a request of which it is known whether it was refused before.
    [[nodiscard]] admission_decision
    decide(const admission_request& request, const admission_room& room, time_point now);
    [[nodiscard]] position find(std::uint64_t ticket);
    void insert(const admission_request& request);
    admission_request take(position it);

    const admission_policy policy_;
    const std::uint64_t seed_;
    std::vector<admission_request> waiting_;   ///< At most `max_waiting`, in order of arrival.
    std::vector<admission_outcome> displaced_; ///< Reported by the next `release`.
    std::uint64_t bytes_{0};                   ///< Sum over `waiting_`.
    account_usage usage_;
    refused_requests refused_;
    double earned_{0}; ///< Requests that may be sent without free room being known.
    time_point counted_at_;
    std::uint32_t released_{0}; ///< Since the last one of the least urgent kind.
};

} // namespace mangovane

#endif

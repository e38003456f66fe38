// One instance's record of an endpoint: requests in flight and the results of recent attempts.
#ifndef MANGOVANE_FORWARD_ENDPOINT_RECORD_HPP
#define MANGOVANE_FORWARD_ENDPOINT_RECORD_HPP

#include <cstdint>

#include "mangovane/core/id.hpp"
#include "mangovane/core/time.hpp"
#include "mangovane/forward/endpoint_load.hpp"
#include "mangovane/forward/endpoint_notice.hpp"
#include "mangovane/forward/stated_speed.hpp"
#include "mangovane/message/load.hpp"

namespace mangovane
{

/// Outcome of an attempt as it counts for the health of the endpoint. Of `attempt_result`,
/// `delivered` counts as `answered`, `not_sent` as `unreachable`, `refused` as `full`,
/// `misdirected` as `replaced`, `crashed` as `crashed`, `caller_left` and `outdated` as
/// `cancelled`, and all others as `failed`.
enum class health_outcome : std::uint8_t
{
    answered,    ///< A usable response.
    failed,      ///< An error, a broken response, or none in time.
    unreachable, ///< The connection could not be established.
    full,        ///< The endpoint rejected the request for lack of capacity.
    replaced,    ///< A different endpoint now uses the address.
    crashed,     ///< The endpoint's process has ended.
    cancelled,   ///< Ended for a reason that is not the endpoint's fault.
};

/// Number of recent attempts by result.
struct attempt_counts
{
    std::uint32_t failures{0};
    std::uint32_t successes{0};

    auto operator<=>(const attempt_counts&) const = default;
};

class endpoint_record
{
public:
    /// Counts an attempt that starts.
    void on_started() noexcept { ++in_flight_; }

    /// Counts the end of an attempt that was started.
    void on_finished(health_outcome outcome, time_point now) noexcept;

    /// Counts the tokens of a request of this instance, until it ends.
    void hold_tokens(std::uint64_t tokens) noexcept { held_tokens_ += tokens; }
    void release_tokens(std::uint64_t tokens) noexcept;

    /// Adds or removes another instance's requests and recent results.
    void add_peer_digest(const endpoint_digest& digest) noexcept;
    void remove_peer_digest(const endpoint_digest& digest) noexcept;

    /// Takes over the speed of a digest that was just received, if it is newer than what is known.
    void on_peer_speed(const endpoint_digest& digest, time_point now) noexcept;

    /// Drops what was stated about the load of another incarnation.
    void on_incarnation(incarnation epoch) noexcept;

    /// Admits one request to the endpoint while it is cold; false within `interval` of the last
    /// one. The first is admitted after `first_wait`, which is below `interval` and differs between
    /// instances: otherwise all instances of a large fleet would send their first request in the
    /// same second.
    [[nodiscard]] bool
    try_admit_cold(duration interval, duration first_wait, time_point now) noexcept;

    /// Records what the endpoint, in this incarnation, stated about itself to this instance.
    void on_notice(const endpoint_notice& notice, incarnation epoch, time_point now) noexcept;

    /// Whether the endpoint, in this incarnation, has told this instance that it is leaving.
    [[nodiscard]] bool leaving(incarnation epoch) const noexcept
    {
        return leaving_ && epoch == notice_epoch_;
    }

    /// Until when the endpoint, in this incarnation, accepts no request of this instance; zero if
    /// it has not said so.
    [[nodiscard]] time_point closed_until(incarnation epoch) const noexcept
    {
        return epoch == notice_epoch_ ? closed_until_ : time_point{};
    }

    /// Requests of this instance.
    [[nodiscard]] std::uint32_t in_flight() const noexcept { return in_flight_; }

    /// Tokens held by the requests of this instance, and by those of all.
    [[nodiscard]] std::uint64_t own_held_tokens() const noexcept { return held_tokens_; }
    [[nodiscard]] std::uint64_t held_tokens() const noexcept
    {
        return held_tokens_ + peer_held_tokens_;
    }

    /// The load as far as requests and statements tell; the age of the digests is not known here.
    [[nodiscard]] endpoint_load known_load(time_point now) const noexcept;

    /// Requests that the other instances send to the endpoint.
    [[nodiscard]] double others_per_s() const noexcept { return ended_per_s(peer_counts_); }

    /// Speed to expect, from the newest statement to any instance.
    [[nodiscard]] double speed(time_point now) const noexcept
    {
        return heard_speed_.newer(reported_speed_).expected(now);
    }

    /// Newest statement to this instance; nothing if there is none by this incarnation.
    [[nodiscard]] const std::optional<stated_load>& stated() const noexcept { return stated_; }

    /// The speed that the endpoint stated to this instance.
    [[nodiscard]] const stated_speed& heard_speed() const noexcept { return heard_speed_; }

    /// Requests in flight over all instances.
    [[nodiscard]] std::uint32_t load() const noexcept { return in_flight_ + peer_in_flight_; }

    /// Whether this instance recently found the endpoint unreachable, full or replaced.
    [[nodiscard]] bool suspended(time_point now) const noexcept { return now < suspended_until_; }

    /// Attempts of this instance in the current period and the one before.
    [[nodiscard]] attempt_counts local_counts(time_point now) const noexcept;

    /// Recent attempts of all instances.
    [[nodiscard]] attempt_counts counts(time_point now) const noexcept;

    /// Whether the record holds nothing that is still needed. The time of the last request to a
    /// cold endpoint is kept for `cold_state_ttl`: without it the next request would be sent too
    /// soon. Notices are kept for `notice_ttl`.
    [[nodiscard]] bool is_removable(time_point now) const noexcept;

    /// Attempts that ended per second, from counts over the last `counted_seconds`.
    [[nodiscard]] static double ended_per_s(const attempt_counts& counts) noexcept
    {
        return (counts.failures + counts.successes) / counted_seconds;
    }

    auto operator<=>(const endpoint_record&) const = default;

private:
    static constexpr milliseconds count_period{1500};
    static constexpr milliseconds first_suspension{400};
    static constexpr milliseconds longest_suspension{3200};
    static constexpr milliseconds full_suspension{100};
    static constexpr milliseconds replaced_suspension{3000};
    static constexpr seconds cold_state_ttl{60};

    /// Longer than an endpoint that is leaving stays listed; the minimum for other notices.
    static constexpr std::chrono::hours notice_ttl{1};

    /// Time that `counts` covers in the mean: one period and half of the next.
    static constexpr double counted_seconds = 1.5 * 1.5;

    void rotate_period(time_point now) noexcept;
    void suspend(duration time, time_point now) noexcept;

    std::uint32_t in_flight_{0};
    std::uint32_t peer_in_flight_{0};
    std::uint64_t held_tokens_{0};      ///< By requests of this instance.
    std::uint64_t peer_held_tokens_{0}; ///< By those of the others, from their digests.
    attempt_counts peer_counts_{};
    attempt_counts current_{};  ///< Attempts since `period_start_`.
    attempt_counts previous_{}; ///< Attempts in the period before.
    time_point period_start_{};
    duration next_suspension_{first_suspension}; ///< Doubles while the endpoint is unreachable.
    time_point suspended_until_{};
    time_point cold_sent_at_{time_point::min()};
    incarnation notice_epoch_{0}; ///< To which the notice applies.
    bool leaving_{false};         ///< Never reset in one incarnation.
    time_point closed_until_{};   ///< Never decreases in one incarnation.
    time_point notice_kept_until_{};
    incarnation load_epoch_{0};         ///< To which the following statements apply.
    std::optional<stated_load> stated_; ///< Newest to this instance.
    stated_speed heard_speed_;          ///< Stated to this instance.
    stated_speed reported_speed_;       ///< Newest in the digests of other instances.
};

} // namespace mangovane

#endif

// What one instance knows of one endpoint: requests in flight, and how recent attempts ended.
#ifndef MANGOVANE_FORWARD_ENDPOINT_RECORD_HPP
#define MANGOVANE_FORWARD_ENDPOINT_RECORD_HPP

#include <cstdint>

#include "mangovane/core/time.hpp"
#include "mangovane/message/load.hpp"

namespace mangovane
{

/// How an attempt at an endpoint ended, as far as the endpoint's condition is concerned.
enum class health_outcome : std::uint8_t
{
    answered,    ///< A usable answer.
    failed,      ///< An error, a broken answer, or none in time.
    unreachable, ///< No connection.
    full,        ///< The endpoint refused because it has no room.
    replaced,    ///< Another endpoint has the address now.
    cancelled,   ///< Given up for a reason that is not the endpoint's.
};

/// Counts of recent attempts.
struct attempt_counts
{
    std::uint32_t failures{0};
    std::uint32_t successes{0};

    auto operator<=>(const attempt_counts&) const = default;
};

class endpoint_record
{
public:
    void on_started() noexcept { ++in_flight_; }

    /// End of an attempt that was started.
    void on_finished(health_outcome end, time_point now) noexcept;

    /// Requests and recent results of the other instances together.
    void add_peer_digest(const endpoint_digest& digest) noexcept;
    void remove_peer_digest(const endpoint_digest& digest) noexcept;

    /// Takes the right to send one request to the endpoint while it is cold; false within `spacing`
    /// of the last. The first comes after `first_wait`, which is below `spacing` and differs
    /// between instances: else all of a large fleet would send their first in the same second.
    [[nodiscard]] bool
    try_admit_cold(duration spacing, duration first_wait, time_point now) noexcept;

    [[nodiscard]] std::uint32_t in_flight() const noexcept { return in_flight_; }

    /// Over all instances.
    [[nodiscard]] std::uint32_t load() const noexcept { return in_flight_ + others_in_flight_; }

    /// Whether this instance found it unreachable, full or replaced a moment ago.
    [[nodiscard]] bool suspended(time_point now) const noexcept { return now < suspended_until_; }

    /// Of this instance, in the last period and the one before.
    [[nodiscard]] attempt_counts local_counts(time_point now) const noexcept;

    /// Over all instances.
    [[nodiscard]] attempt_counts counts(time_point now) const noexcept;

    /// Nothing worth keeping is known. The time of the last request to a cold endpoint is kept:
    /// without it the next would be sent too soon.
    [[nodiscard]] bool idle(time_point now) const noexcept;

    auto operator<=>(const endpoint_record&) const = default;

private:
    static constexpr milliseconds count_period{1500};
    static constexpr milliseconds first_suspension{400};
    static constexpr milliseconds longest_suspension{3200};
    static constexpr milliseconds full_suspension{100};
    static constexpr milliseconds replaced_suspension{3000};
    static constexpr seconds cold_memory{60};

    void roll(time_point now) noexcept;
    void suspend(duration time, time_point now) noexcept;

    std::uint32_t in_flight_{0};
    std::uint32_t others_in_flight_{0};
    attempt_counts others_{};
    attempt_counts current_{};  ///< Since `period_start_`.
    attempt_counts previous_{}; ///< In the period before.
    time_point period_start_{};
    duration next_suspension_{first_suspension}; ///< Doubles while the endpoint is unreachable.
    time_point suspended_until_{};
    time_point cold_sent_at_{time_point::min()};
};

} // namespace mangovane

#endif

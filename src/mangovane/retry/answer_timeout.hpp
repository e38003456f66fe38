// How long the answer to a call is awaited when calls are repeated until one is answered.
#ifndef MANGOVANE_RETRY_ANSWER_TIMEOUT_HPP
#define MANGOVANE_RETRY_ANSWER_TIMEOUT_HPP

#include <algorithm>
#include <compare>
#include <cstdint>

#include <absl/status/status.h>

#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Doubles with each call that was given up, and stays at twice what the last answer took. With a
/// fixed time, no answer of a service that has become slower than that would ever be used; the
/// first, short time still detects a connection that delivers nothing. Immutable.
class answer_timeout
{
public:
    /// `first`: time for the first call; never less. An answer that is lost without an error is
    /// noticed after `longest`, so that must be well below the time in which a fleet has to serve
    /// again.
    constexpr answer_timeout(milliseconds first, milliseconds longest)
        : first_{first}, longest_{longest}
    {}

    [[nodiscard]] constexpr time_point deadline_from(time_point now) const
    {
        return now + std::min(first_ * (1U << doublings_), longest_);
    }

    /// Of the next call. An error other than an expired deadline tells nothing.
    [[nodiscard]] answer_timeout after(const absl::Status& result, duration took) const
    {
        if (absl::IsDeadlineExceeded(result))
        {
            return after_expiry();
        }
        return result.ok() ? after_answer(took) : *this;
    }

    /// Of the next call, after one that was given up.
    [[nodiscard]] constexpr answer_timeout after_expiry() const
    {
        answer_timeout result{*this};
        result.doublings_ = std::min(doublings_ + 1, max_doublings);
        return result;
    }

    /// Of the next call, after one whose answer took so long.
    [[nodiscard]] constexpr answer_timeout after_answer(duration took) const
    {
        answer_timeout result{first_, longest_};
        while (result.doublings_ < max_doublings && first_ * (1U << result.doublings_) < 2 * took)
        {
            ++result.doublings_;
        }
        return result;
    }

    auto operator<=>(const answer_timeout&) const = default;

private:
    static constexpr std::uint32_t max_doublings = 8; ///< Keeps the shift in range.

    milliseconds first_;
    milliseconds longest_;
    std::uint32_t doublings_{0}; ///< Of `first_`; at most `max_doublings`.
};

} // namespace mangovane

#endif

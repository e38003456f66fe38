// Retry budget of one service: a token bucket that requests fill and retries drain.
#ifndef MANGOVANE_RETRY_RETRY_BUDGET_HPP
#define MANGOVANE_RETRY_RETRY_BUDGET_HPP

#include "mangovane/core/time.hpp"

namespace mangovane
{

class retry_budget
{
public:
    /// Counts an accepted request; earns `ratio` retries.
    void on_request(double ratio) noexcept;

    /// Takes one retry; false when the budget is empty.
    [[nodiscard]] bool try_retry() noexcept;

    /// Retries available.
    [[nodiscard]] double balance() const noexcept { return balance_; }

    auto operator<=>(const retry_budget&) const = default;

private:
    static constexpr double max_balance = 10.0; ///< Retries.

    double balance_{max_balance}; ///< Between 0 and `max_balance`.
};

/// Facts about a failed attempt that decide on a retry.
struct failed_attempt
{
    bool idempotent{false};
    bool may_have_reached_endpoint{true}; ///< A byte of the request may have reached the endpoint.
    bool response_started{false};         ///< A byte of the response has been sent to the caller.
    time_point deadline;

    auto operator<=>(const failed_attempt&) const = default;
};

/// Whether a failed attempt may be retried, regardless of the budget.
[[nodiscard]] constexpr bool may_retry(const failed_attempt& attempt, time_point now) noexcept
{
    return !attempt.response_started &&
           (attempt.idempotent || !attempt.may_have_reached_endpoint) && now < attempt.deadline;
}

} // namespace mangovane

#endif

// This instance's share of the fleet-wide retry budget, per service.
#ifndef MANGOVANE_FORWARD_LOCAL_RETRY_BUDGET_HPP
#define MANGOVANE_FORWARD_LOCAL_RETRY_BUDGET_HPP

#include <array>
#include <cstdint>

#include "mangovane/core/id.hpp"
#include "mangovane/core/sharded_map.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// Fleet-wide budget: in any window, retries <= ratio * requests + slack.
struct retry_budget_policy
{
    double ratio{0.1};
    double slack{10}; ///< Retries.
    seconds window{10};

    auto operator<=>(const retry_budget_policy&) const = default;
};

/// Instances do not exchange counts: each uses the ratio of its own requests and an equal part of
/// the slack, so the sum stays within the budget even in a network partition.
class local_retry_budget
{
public:
    explicit local_retry_budget(retry_budget_policy policy) : policy_{policy} {}

    /// Counts an accepted request.
    void on_request(service_id service, time_point now);

    /// Takes one retry; false when the share is exhausted. The slack is divided by `instances`.
    [[nodiscard]] bool try_retry(service_id service, std::uint32_t instances, time_point now);

private:
    static constexpr std::size_t bucket_count = 10;

    /// Fraction of the budget that is used, because the clocks and windows of the instances differ
    /// from each other and from those of whoever measures the budget.
    static constexpr double safety_factor = 0.8;

    /// One tenth of a window.
    struct bucket
    {
        std::int64_t number{-1};
        std::uint32_t requests{0};
        std::uint32_t retries{0};
    };

    using service_window = std::array<bucket, bucket_count>;

    [[nodiscard]] std::int64_t bucket_number(time_point now) const;
    [[nodiscard]] bucket& bucket_at(service_window& window, time_point now) const;

    const retry_budget_policy policy_;
    sharded_map<service_id, service_window, 4> windows_;
};

} // namespace mangovane

#endif

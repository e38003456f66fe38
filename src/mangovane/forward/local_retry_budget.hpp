// This instance's share of the fleet's retry budget, by service.
#ifndef MANGOVANE_FORWARD_LOCAL_RETRY_BUDGET_HPP
#define MANGOVANE_FORWARD_LOCAL_RETRY_BUDGET_HPP

#include <array>
#include <cstdint>

#include "mangovane/core/id.hpp"
#include "mangovane/core/sharded_map.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

/// The fleet's budget: in any window, retries <= ratio * requests + slack.
struct retry_budget_policy
{
    double ratio{0.1};
    double slack{10};
    seconds window{10};

    auto operator<=>(const retry_budget_policy&) const = default;
};

/// Instances do not exchange counts: each keeps its own requests and an equal part of the slack, so
/// that the sum stays within the budget in every partition.
class local_retry_budget
{
public:
    explicit local_retry_budget(retry_budget_policy policy) : policy_{policy} {}

    void on_request(service_id service, time_point now);

    /// Takes a retry; false when the share is used up. `instances` share the slack.
    [[nodiscard]] bool try_retry(service_id service, std::uint32_t instances, time_point now);

private:
    static constexpr std::size_t slot_count = 10;

    /// Part of the budget that is used: clocks and windows of instances and judges differ.
    static constexpr double safety_factor = 0.8;

    /// One tenth of a window.
    struct time_slot
    {
        std::int64_t number{-1};
        std::uint32_t requests{0};
        std::uint32_t retries{0};
    };

    using service_window = std::array<time_slot, slot_count>;

    [[nodiscard]] std::int64_t slot_number(time_point now) const;
    [[nodiscard]] time_slot& slot_at(service_window& window, time_point now) const;

    const retry_budget_policy policy_;
    sharded_map<service_id, service_window, 4> windows_;
};

} // namespace mangovane

#endif

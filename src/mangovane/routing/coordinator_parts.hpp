// Implementation details of the coordinator.
#ifndef MANGOVANE_ROUTING_COORDINATOR_PARTS_HPP
#define MANGOVANE_ROUTING_COORDINATOR_PARTS_HPP

#include <atomic>
#include <type_traits>

#include "mangovane/retry/retry_budget.hpp"
#include "mangovane/routing/coordinator.hpp"

namespace mangovane
{

namespace internal
{

template <class Type, class... Types>
inline constexpr bool is_any_of = (std::is_same_v<Type, Types> || ...);

} // namespace internal

/// Retry budgets, one per service.
class coordinator::service_retry_budgets final : public retry_limiter
{
public:
    void on_request(service_id service, double ratio)
    {
        budgets_.with_entry(service, [&](retry_budget& it) { it.on_request(ratio); });
    }

    [[nodiscard]] bool try_retry(service_id service) override
    {
        const bool granted =
            budgets_.with_entry(service, [](retry_budget& it) { return it.try_retry(); });
        ++(granted ? retries : refused);
        return granted;
    }

    std::atomic<std::uint64_t> retries{0};
    std::atomic<std::uint64_t> refused{0};

private:
    sharded_map<service_id, retry_budget> budgets_;
};

} // namespace mangovane

#endif

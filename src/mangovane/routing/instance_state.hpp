// State shared by the services of an instance: identity, membership view, settings and endpoints.
#ifndef MANGOVANE_ROUTING_INSTANCE_STATE_HPP
#define MANGOVANE_ROUTING_INSTANCE_STATE_HPP

#include <atomic>
#include <mutex>

#include "mangovane/membership/member_table.hpp"
#include "mangovane/routing/resume_fence.hpp"
#include "mangovane/routing/routing_table.hpp"
#include "mangovane/settings/registry.hpp"

namespace mangovane
{

/// Thread-safe.
class instance_state
{
public:
    instance_state(member self, detector_timing timing, std::uint64_t seed);

    [[nodiscard]] const member& self() const noexcept { return self_; }
    [[nodiscard]] member_table& members() noexcept { return members_; }
    [[nodiscard]] settings_registry& settings() noexcept { return settings_; }
    [[nodiscard]] resume_fence& fence() noexcept { return fence_; }

    [[nodiscard]] view_ptr view() const { return members_.view(); }
    [[nodiscard]] routing_table_ptr routes() const;

    /// Applies settings if they are newer, and announces their version to the other instances.
    adopt_result adopt(settings_ptr settings);

    /// Replaces the list of endpoints; false if it has not changed.
    bool set_endpoints(endpoints_ptr endpoints);

    /// Time of the last change of the live instances, and so of the owners of keys.
    [[nodiscard]] time_point owners_unchanged_since() const
    {
        return time_point{duration{owners_unchanged_since_}};
    }
    void record_view_change(time_point now)
    {
        owners_unchanged_since_ = now.time_since_epoch().count();
    }

    /// Owner of an endpoint in the current view.
    [[nodiscard]] std::optional<instance_id> owner_of(const endpoint_info& endpoint) const
    {
        return view()->endpoint_owner(endpoint.id, endpoint.domain);
    }

private:
    void rebuild();

    member self_;
    member_table members_;
    settings_registry settings_;
    resume_fence fence_;
    std::atomic<duration::rep> owners_unchanged_since_{0};
    mutable std::mutex mutex_;
    endpoints_ptr endpoints_;  ///< Never null. Guarded by `mutex_`.
    routing_table_ptr routes_; ///< Never null. Guarded by `mutex_`.
};

} // namespace mangovane

#endif

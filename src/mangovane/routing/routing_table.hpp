// Endpoints that accept new work, by service, according to the platform's list and the current
// settings.
#ifndef MANGOVANE_ROUTING_ROUTING_TABLE_HPP
#define MANGOVANE_ROUTING_ROUTING_TABLE_HPP

#include <memory>
#include <optional>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "mangovane/membership/endpoint.hpp"
#include "mangovane/message/slot.hpp"
#include "mangovane/placement/placement_strategy.hpp"
#include "mangovane/settings/snapshot.hpp"

namespace mangovane
{

/// Immutable; replaced when the list or the settings change.
class routing_table
{
public:
    routing_table(endpoints_ptr endpoints, settings_ptr settings);

    /// Open endpoints of a service that an account may use for a model, in order of id.
    [[nodiscard]] std::vector<candidate>
    candidates(service_id service, const account_policy& account, model_id model) const;

    /// Number of open endpoints of a service.
    [[nodiscard]] std::size_t open_count(service_id service) const;

    /// Reason why an endpoint accepts no new work; no value if it is open.
    [[nodiscard]] std::optional<slot_refusal_reason> closed(endpoint_id endpoint) const;

    /// The same for an endpoint of this table.
    [[nodiscard]] std::optional<slot_refusal_reason> closed(const endpoint_info& endpoint) const;

    [[nodiscard]] const endpoint_info* find(endpoint_id endpoint) const noexcept
    {
        return endpoints_->find(endpoint);
    }

    [[nodiscard]] const endpoint_directory& endpoints() const noexcept { return *endpoints_; }
    [[nodiscard]] const settings_snapshot& settings() const noexcept { return *settings_; }
    [[nodiscard]] const settings_ptr& settings_pointer() const noexcept { return settings_; }

private:
    endpoints_ptr endpoints_; ///< Never null.
    settings_ptr settings_;   ///< Never null.
    absl::flat_hash_map<service_id, std::vector<const endpoint_info*>> open_;
};

using routing_table_ptr = std::shared_ptr<const routing_table>;

} // namespace mangovane

#endif

// An operator's order to move the traffic of a service to endpoints of another version.
#ifndef MANGOVANE_SETTINGS_ROLLOUT_ORDER_HPP
#define MANGOVANE_SETTINGS_ROLLOUT_ORDER_HPP

#include <string>

#include "mangovane/core/id.hpp"
#include "mangovane/core/store_revision.hpp"
#include "mangovane/core/time.hpp"

namespace mangovane
{

struct rollout_order
{
    service_id service;
    std::string service_name;
    std::string version;      ///< To which the traffic moves; never empty.
    store_revision revision;  ///< Of the order. A newer order replaces an older one.
    milliseconds duration{0}; ///< From the order to its deadline, as the operator states it.

    auto operator<=>(const rollout_order&) const = default;
};

/// Whether two revisions can be of one order: a store that comes back older gives the order another
/// revision in the next era, and the operators write it again.
[[nodiscard]] inline bool is_same_write(const store_revision& lhs,
                                        const store_revision& rhs) noexcept
{
    return lhs == rhs || lhs.era != rhs.era;
}

/// Whether both are the same order.
[[nodiscard]] inline bool is_same_order(const rollout_order& lhs, const rollout_order& rhs)
{
    return lhs.service == rhs.service && lhs.version == rhs.version &&
           lhs.duration == rhs.duration && is_same_write(lhs.revision, rhs.revision);
}

} // namespace mangovane

#endif

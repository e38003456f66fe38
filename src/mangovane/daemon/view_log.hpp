// Log of the membership view and of the settings in force.
#ifndef MANGOVANE_DAEMON_VIEW_LOG_HPP
#define MANGOVANE_DAEMON_VIEW_LOG_HPP

#include <cstdint>

#include <absl/container/flat_hash_map.h>

#include "mangovane/membership/view.hpp"
#include "mangovane/settings/snapshot.hpp"

namespace mangovane
{

/// Logs each member that is new, gone or in another state, and each new settings version, once. Not
/// thread-safe.
class view_log
{
public:
    /// Returns whether the view has changed since the last call.
    bool on_view(const membership_view& view);

    /// Logs the version of the settings in force if it differs from the last one.
    void on_settings(const settings_ptr& settings);

private:
    std::uint64_t view_version_{0};
    std::uint64_t settings_version_{0};
    absl::flat_hash_map<instance_id, member_state> states_;
};

} // namespace mangovane

#endif

// The settings in force on one instance. Versions only rise.
#ifndef MANGOVANE_SETTINGS_REGISTRY_HPP
#define MANGOVANE_SETTINGS_REGISTRY_HPP

#include <cstdint>
#include <mutex>

#include "mangovane/settings/snapshot.hpp"

namespace mangovane
{

enum class adopt_result : std::uint8_t
{
    adopted,
    not_newer,       ///< A version at least as new is in force.
    digest_conflict, ///< Same version, other content: refused and reported.
};

class settings_registry
{
public:
    /// Puts a snapshot in force when its version is higher than the current one.
    adopt_result adopt(settings_ptr snapshot);

    /// The snapshot in force; null before the first.
    [[nodiscard]] settings_ptr current() const;

    /// Remembers the newest version that was heard of from a peer or the platform.
    void observe_version(settings_stamp stamp);

    /// The newest version heard of.
    [[nodiscard]] settings_stamp newest_observed() const;

    /// Whether the snapshot in force is at least as new as every version heard of.
    [[nodiscard]] bool is_current() const;

private:
    mutable std::mutex mutex_;
    settings_ptr current_;           ///< Version never falls. Guarded by `mutex_`.
    settings_stamp newest_observed_; ///< Version never falls. Guarded by `mutex_`.
};

} // namespace mangovane

#endif

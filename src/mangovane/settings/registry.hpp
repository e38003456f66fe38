// The active settings of one instance. Versions never decrease.
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
    not_newer,       ///< The active version is the same or a newer one.
    digest_conflict, ///< Same version with different content; rejected and reported.
};

/// Thread-safe.
class settings_registry
{
public:
    /// Activates a snapshot if its version is higher than the current one.
    adopt_result adopt(settings_ptr snapshot);

    /// The active snapshot; null before the first.
    [[nodiscard]] settings_ptr current() const;

    /// Records a version that a peer or the platform announced.
    void observe_version(settings_stamp stamp);

    /// The newest announced or active version.
    [[nodiscard]] settings_stamp newest_observed() const;

    /// Whether the active snapshot is at least as new as every announced version.
    [[nodiscard]] bool is_current() const;

private:
    mutable std::mutex mutex_;
    settings_ptr current_;           ///< Version never decreases. Guarded by `mutex_`.
    settings_stamp newest_observed_; ///< Version never decreases. Guarded by `mutex_`.
};

} // namespace mangovane

#endif

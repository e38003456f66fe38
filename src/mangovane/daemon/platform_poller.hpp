// Keeps an instance up to date from the platform: the list of instances and endpoints, and the
// settings.
#ifndef MANGOVANE_DAEMON_PLATFORM_POLLER_HPP
#define MANGOVANE_DAEMON_PLATFORM_POLLER_HPP

#include <atomic>
#include <memory>
#include <string>

#include "mangovane/routing/coordinator.hpp"
#include "mangovane/settings/watcher.hpp"
#include "mangovane/store/http_platform.hpp"

namespace mangovane
{

class platform_poller
{
public:
    /// Both outlive the follower.
    platform_poller(http_platform& platform, coordinator& core);

    /// Starts reads that are due. Called at least each 50 ms.
    void tick(time_point now);

    /// Whether the instance has a list, and settings as new as any it can hear of.
    [[nodiscard]] bool may_become_ready() const;

    /// Milliseconds since the settings' head was read last; nothing before the first.
    [[nodiscard]] std::optional<milliseconds> settings_age(time_point now) const;

private:
    static constexpr milliseconds list_period{1000};
    static constexpr milliseconds list_timeout{900};

    void on_list(const absl::StatusOr<discovery_list>& list);

    http_platform& platform_;
    coordinator& core_;
    std::shared_ptr<settings_watcher> watcher_;
    time_point listed_at_{}; ///< Start of the last fetch. Touched by `tick` alone.
    std::atomic<bool> fetching_{false};
    std::atomic<bool> has_list_{false};
};

} // namespace mangovane

#endif

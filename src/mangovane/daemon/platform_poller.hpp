// Polls the platform for the list of instances and endpoints, and for the settings.
#ifndef MANGOVANE_DAEMON_PLATFORM_POLLER_HPP
#define MANGOVANE_DAEMON_PLATFORM_POLLER_HPP

#include <atomic>
#include <memory>
#include <string>

#include "mangovane/retry/answer_timeout.hpp"
#include "mangovane/routing/coordinator.hpp"
#include "mangovane/settings/watcher.hpp"
#include "mangovane/store/http_platform.hpp"

namespace mangovane
{

/// Applies what it reads to a coordinator.
class platform_poller
{
public:
    /// Both must outlive the poller.
    platform_poller(http_platform& platform, coordinator& core);

    /// Starts reads that are due. Call at least every 50 ms.
    void tick(time_point now);

    /// Whether the list was read, and settings that are as new as any version seen.
    [[nodiscard]] bool may_become_ready() const;

    /// Time since the settings' current version was last read; empty before the first read.
    [[nodiscard]] std::optional<milliseconds> settings_age(time_point now) const;

private:
    static constexpr milliseconds list_period{1000};
    static constexpr milliseconds first_list_timeout{900};
    static constexpr milliseconds longest_list_timeout{4000};

    void on_list(const absl::StatusOr<discovery_list>& list);

    http_platform& platform_;
    coordinator& core_;
    std::shared_ptr<settings_watcher> watcher_;
    time_point listed_at_{}; ///< Start of the last fetch. Used only by `tick`.
    answer_timeout list_timeout_{first_list_timeout,
                                 longest_list_timeout}; ///< Not used while `fetching_`.
    std::atomic<bool> fetching_{false};
    std::atomic<bool> has_list_{false};
};

} // namespace mangovane

#endif

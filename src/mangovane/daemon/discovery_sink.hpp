// Interface to an external source of settings, endpoints and instances. The sink applies what the
// source reads, in types independent of the platform, and logs the resulting state. A
// `discovery_source` is the adapter to one platform, whose list of endpoints is also called the
// registry.
#ifndef MANGOVANE_DAEMON_DISCOVERY_SINK_HPP
#define MANGOVANE_DAEMON_DISCOVERY_SINK_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangovane/daemon/readiness.hpp"
#include "mangovane/forward/forward_core.hpp"
#include "mangovane/membership/endpoint_catalog.hpp"
#include "mangovane/observe/event_log.hpp"

namespace mangovane
{

/// Receives the data read by a `discovery_source`. Thread-safe.
class discovery_sink
{
public:
    /// Both must outlive the sink.
    discovery_sink(forward_core& core, event_log& log) : core_{core}, log_{log} {}

    /// A new version of the settings was read.
    void on_settings(const settings_ptr& settings, time_point now);

    /// The full list of endpoints was read, at a revision of the source.
    void on_endpoints(const std::vector<endpoint_change>& entries,
                      store_revision revision,
                      time_point now);

    /// Changes of endpoints were read, up to a revision of the source.
    void on_endpoint_changes(const std::vector<endpoint_change>& changes,
                             store_revision revision,
                             time_point now);

    /// The list of instances was read.
    void on_instances(const std::vector<listed_instance>& instances, time_point now);

    /// A call to the platform failed.
    void on_outage(const std::string& reason, time_point now);

    /// The platform responded.
    void on_contact(time_point now);

    /// A row or entry could not be parsed and is skipped.
    void on_invalid_entry(const std::string& what, const std::string& reason, time_point now);

    /// Logs changes since the last call.
    void tick(time_point now);

    /// What has been received of all that is needed to serve requests.
    [[nodiscard]] readiness current_readiness();

    /// Current settings; a source that starts to read continues after them.
    [[nodiscard]] settings_ptr settings() { return core_.settings(); }

    /// Revision of the current list; a source that starts to read continues after it.
    [[nodiscard]] store_revision endpoints_revision() const { return core_.catalog().revision(); }

    /// Rollouts whose status a source that reads writes.
    [[nodiscard]] rollout_registry& rollouts() { return core_.rollouts(); }

    /// The source no longer reads; other instances do.
    void on_polling_stopped();

private:
    void log_endpoint_changes(const endpoint_directory& before,
                              const endpoint_directory& after,
                              time_point now);

    forward_core& core_;
    event_log& log_;
    std::mutex mutex_;
    routing_table_ptr logged_routes_; ///< Logged last. Guarded by `mutex_`.
    std::uint64_t logged_digest_{0};  ///< Of the settings' text. Guarded by `mutex_`.
    store_revision logged_version_;   ///< Of the settings. Guarded by `mutex_`.
    bool reachable_{true};            ///< Guarded by `mutex_`.
    time_point contact_at_{};         ///< Guarded by `mutex_`.
    store_contact store_;             ///< Guarded by `mutex_`.
};

/// Reads settings, endpoints and instances from a platform and passes them to a `discovery_sink`.
/// Implemented by an adapter.
class discovery_source
{
public:
    virtual ~discovery_source() = default;

    /// Starts to read in the background.
    virtual void start() = 0;

    /// Ends all calls.
    virtual void stop() = 0;

    /// Sets whether this instance reads from the platform; else it gets the data from other
    /// instances.
    virtual void set_polling(bool reading) = 0;

    /// Starts reads that are due. Called several times a second.
    virtual void tick(time_point now) = 0;
};

} // namespace mangovane

#endif

// What an instance learns from outside: settings, endpoints and other instances. Takes the news in
// the product's own terms, puts them in force and logs what the instance now believes.
#ifndef MANGOVANE_DAEMON_DISCOVERY_SINK_HPP
#define MANGOVANE_DAEMON_DISCOVERY_SINK_HPP

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "mangovane/forward/forward_core.hpp"
#include "mangovane/membership/endpoint_catalog.hpp"
#include "mangovane/observe/event_log.hpp"

namespace mangovane
{

class discovery_sink
{
public:
    /// Both outlive the feed.
    discovery_sink(forward_core& core, event_log& log) : core_{core}, log_{log} {}

    void on_settings(const settings_ptr& settings, time_point now);
    void on_endpoints(const std::vector<endpoint_change>& entries,
                      std::uint64_t revision,
                      time_point now);
    void on_endpoint_changes(const std::vector<endpoint_change>& changes,
                             std::uint64_t revision,
                             time_point now);
    void on_instances(const std::vector<listed_instance>& instances, time_point now);

    /// The source did not answer; it answered.
    void on_outage(const std::string& reason, time_point now);
    void on_contact(time_point now);

    /// A row or entry could not be read; it is left out.
    void on_invalid_entry(const std::string& what, const std::string& reason, time_point now);

    /// Logs what has changed.
    void tick(time_point now);

    /// Whether enough is known to serve.
    [[nodiscard]] bool has_initial_state();

    /// Where a source goes on when it begins to read again.
    [[nodiscard]] settings_ptr settings() { return core_.settings(); }
    [[nodiscard]] std::uint64_t endpoints_revision() const { return core_.catalog().revision(); }

    /// The source was told to stop reading.
    void on_reading_stopped();

private:
    void
    log_changes(const endpoint_directory& before, const endpoint_directory& after, time_point now);

    forward_core& core_;
    event_log& log_;
    std::mutex mutex_;
    routing_table_ptr logged_routes_; ///< Whose endpoints were logged last. Guarded by `mutex_`.
    std::uint64_t logged_version_{0}; ///< Guarded by `mutex_`.
    bool reachable_{true};            ///< Guarded by `mutex_`.
    time_point contact_at_{};         ///< Guarded by `mutex_`.
};

/// Reads the outside and feeds the instance. Implemented by an adapter.
class discovery_source
{
public:
    virtual ~discovery_source() = default;
    virtual void start() = 0;
    virtual void stop() = 0;

    /// Whether this instance has to read; else others tell it what they have read.
    virtual void set_reading(bool reading) = 0;

    /// Called a few times a second.
    virtual void tick(time_point now) = 0;
};

} // namespace mangovane

#endif

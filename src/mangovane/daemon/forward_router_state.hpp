// State of the forwarding router daemon: its parts, in the order of their construction.
#ifndef MANGOVANE_DAEMON_FORWARD_ROUTER_STATE_HPP
#define MANGOVANE_DAEMON_FORWARD_ROUTER_STATE_HPP

#include <atomic>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangovane/daemon/forward_router.hpp"
#include "mangovane/daemon/listener_group.hpp"
#include "mangovane/net/forward_server.hpp"
#include "mangovane/net/monitoring_server.hpp"
#include "mangovane/net/peer_network.hpp"
#include "mangovane/net/task_monitor.hpp"
#include "mangovane/observe/request_metrics.hpp"
#include "mangovane/observe/startup_observer.hpp"

namespace mangovane
{

struct forward_router::state
{
    state(forward_router_options opts, forward_adapter adapter);

    void add_listeners();
    /// Begins to read and to serve, once the addresses are open.
    void start();
    void fail(const absl::Status& status);
    /// Descriptors for callers and their requests in a fleet of so many instances.
    [[nodiscard]] std::size_t caller_descriptors(std::size_t instances) const;
    [[nodiscard]] std::shared_ptr<caller_resources> make_callers() const;
    void on_peer_message(instance_id from, const message& msg);
    [[nodiscard]] monitoring_response ready_page();
    [[nodiscard]] monitoring_response operator_page(const monitoring_request& req);
    [[nodiscard]] std::string metrics_text();
    [[nodiscard]] std::string admission_metrics();
    void tick();
    void log_pause(time_point now);
    void apply_view(time_point now);
    void update_reading(time_point now);
    void update_readiness(time_point now);
    /// Records the steps that were reached since the last call.
    void record_steps(const readiness& state, time_point now);
    /// Logs once a second what is missing.
    void log_missing(const readiness& state, time_point now);
    void await_stop();
    void await_reload();
    void begin_shutdown();
    void refuse_connections();
    void await_last_session();
    void cut_sessions();
    void await_cut_sessions();
    /// Calls a step of the shutdown at a later time.
    void at(time_point when, void (state::*next)());
    void stop();
    void exit();

    forward_router_options options;
    boost::asio::io_context io;
    task_monitor& tasks; ///< Of `io`.
    fd_log_output output;
    event_log log;
    forward_options core_options;
    request_metrics metrics;
    startup_record startup_steps;
    startup_observer startup; ///< Observes requests for `metrics`.
    peer_network peers;
    forward_core core;
    discovery_sink discovery;
    std::atomic<bool> ready{false};
    forward_services services;
    forward_server server;
    monitoring_server ready_pages;
    monitoring_server metric_pages;
    listener_group listeners;
    absl::Status start_failure; ///< Why the process could not start.
    std::atomic<bool> started{false};
    std::unique_ptr<discovery_source> source;
    boost::asio::signal_set stop_signals;
    boost::asio::signal_set reload_signals;
    boost::asio::steady_timer ticker;
    boost::asio::steady_timer stop_timer;
    time_point exit_at{}; ///< Set at the cut.
    time_point ticked_at{};
    milliseconds boot_time_at_tick{0};
    time_point labels_rotated_at{};
    time_point next_missing_log{}; ///< Of what an instance that is not ready still needs.
    std::uint64_t applied_view_version{0};
    bool reading{true}; ///< Initially true, as no other instance is known yet.
};

} // namespace mangovane

#endif

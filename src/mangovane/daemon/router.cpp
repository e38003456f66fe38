// Implementation of the router daemon.
#include "mangovane/daemon/router.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <sstream>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <glog/logging.h>

#include "mangovane/daemon/batched_claim_store.hpp"
#include "mangovane/daemon/control_metrics.hpp"
#include "mangovane/daemon/endpoint_log.hpp"
#include "mangovane/daemon/fleet_status_provider.hpp"
#include "mangovane/daemon/listener_group.hpp"
#include "mangovane/daemon/platform_poller.hpp"
#include "mangovane/daemon/process.hpp"
#include "mangovane/daemon/request_log.hpp"
#include "mangovane/daemon/unavailable_table.hpp"
#include "mangovane/daemon/view_log.hpp"
#include "mangovane/net/endpoint_poller.hpp"
#include "mangovane/net/native_server.hpp"
#include "mangovane/net/operator_server.hpp"
#include "mangovane/net/peer_network.hpp"
#include "mangovane/net/task_monitor.hpp"
#include "mangovane/observe/metric_table.hpp"
#include "mangovane/observe/request_metrics.hpp"
#include "mangovane/settings/parse.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

/// Period of the coordinator's timers.
constexpr milliseconds tick_period{50};
/// Period in which a shutdown checks whether the last request has ended.
constexpr milliseconds drain_poll_period{50};
/// Time allowed for sending the last messages to other instances.
constexpr milliseconds flush_time{200};
/// Period in which the account labels of metrics are rotated.
constexpr seconds label_rotation_period{60};
/// Period in which changes of owned endpoints are logged.
constexpr milliseconds endpoint_log_period{250};

coordinator_options make_coordinator_options(const router_options& options)
{
    coordinator_options result;
    result.self = make_self(options.name, options.domain, options.peer_listen);
    result.seed = hash_combine(result.self.id.value(), result.self.epoch);
    result.chat_capacity = options.chat_capacity;
    return result;
}

} // namespace

struct router::state
{
    explicit state(router_options opts)
        : options{std::move(opts)}, io{static_cast<int>(options.threads)},
          tasks{task_monitor_of(io)}, core_options{make_coordinator_options(options)},
          peers{io, make_peer_options(core_options.self, options.cluster_key),
                [this](instance_id from, const message& msg)
                { core.on_message(from, msg, clock::now()); }},
          core{core_options, peers, clock::now()}, status_provider{core}, poller{io, core},
          platform{options.platform.empty() ? nullptr : make_http_platform(io, options.platform)},
          claims_platform{options.platform.empty() ? nullptr
                                                   : make_http_platform(io, options.platform)},
          claims{io, platform ? static_cast<table_service&>(*claims_platform) : no_table, core},
          requests{metrics, options.verbose},
          services{core, claims,        requests, ready, [this] { return metrics_text(false); },
                   {},   make_callers()},
          server{io, services}, operators{io,
                                          {status_provider, [this] { return metrics_text(true); },
                                           options.cluster_key}},
          signals{io, SIGTERM, SIGINT}, ticker{asio::make_strand(io)},
          drain_timer{io}, listeners{io, [](const std::string& line) { LOG(WARNING) << line; }}
    {
        if (platform)
        {
            platform_sync.emplace(*platform, core);
        }
        tasks.on_failure(
            [](std::string_view task, std::string_view reason)
            { LOG(ERROR) << "event=task_failed task=" << task << " reason=\"" << reason << "\""; });
    }

    [[nodiscard]] absl::Status load_static();
    void add_listeners();
    /// Begins to read and to serve, once the addresses are open.
    void start();
    void fail(const absl::Status& status);
    /// Descriptors for callers and their requests in a fleet of so many instances.
    [[nodiscard]] std::size_t caller_descriptors(std::size_t instances) const;
    [[nodiscard]] std::shared_ptr<caller_resources> make_callers() const;
    [[nodiscard]] std::string metrics_text(bool for_operators) const;
    void tick();
    void log_endpoints(time_point now);
    void update_readiness();
    void start_shutdown();
    void await_last_request();
    /// Calls a step of the shutdown after a delay.
    void after(milliseconds time, void (state::*next)());
    void drain();
    /// Ends the requests that still run at the end of the grace period, once.
    void cut_late_requests(time_point now);
    void stop();

    router_options options;
    asio::io_context io;
    task_monitor& tasks; ///< Of `io`.
    coordinator_options core_options;
    peer_network peers;
    coordinator core;
    fleet_status_provider status_provider;
    view_log log;
    endpoint_log owned_log;
    endpoint_poller poller;
    unavailable_table no_table{io};
    std::unique_ptr<http_platform> platform; ///< Null in static mode.
    /// Separate connections, so that slow calls to the table do not delay the list and the
    /// settings.
    std::unique_ptr<http_platform> claims_platform;
    std::optional<platform_poller> platform_sync;
    batched_claim_store claims;
    request_metrics metrics;
    request_log requests;
    std::atomic<bool> ready{false};
    frontend_services services;
    native_server server;
    operator_server operators;
    asio::signal_set signals;
    asio::steady_timer ticker;
    asio::steady_timer drain_timer;
    listener_group listeners;
    absl::Status start_failure; ///< Why the process could not start.
    std::atomic<bool> started{false};
    time_point exit_at{time_point::max()}; ///< Set when the requests that still run are cut.
    time_point labels_rotated_at{};
    time_point endpoints_logged_at{};
};

absl::Status router::state::load_static()
{
    std::ifstream file{options.settings_file};
    if (!file)
    {
        return absl::NotFoundError(
            absl::StrCat("settings-file '", options.settings_file, "' cannot be read"));
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto settings = parse_settings(text.str(), 1);
    if (!settings.ok())
    {
        return settings.status();
    }
    const auto now = clock::now();
    core.adopt_settings(*settings, now);
    core.on_platform_list({}, std::make_shared<endpoint_directory>(options.endpoints), now);
    return absl::OkStatus();
}

void router::state::add_listeners()
{
    listeners.add(
        {"peers", options.peer_listen, [this] { return peers.listen(options.peer_listen); }});
    listeners.add({"operators", options.operator_listen,
                   [this] { return operators.listen(options.operator_listen); }, false});
    listeners.add({"callers", options.listen, [this] { return server.listen(options.listen); }});
}

void router::state::start()
{
    started = true;
    LOG(INFO) << "event=started name=" << options.name << " domain=" << options.domain
              << " port=" << server.port();
    tick();
    poller.start();
}

void router::state::fail(const absl::Status& status)
{
    start_failure = status;
    io.stop();
}

std::size_t router::state::caller_descriptors(std::size_t instances) const
{
    return descriptors_for_callers(descriptor_limit(options.descriptors), instances);
}

std::shared_ptr<caller_resources> router::state::make_callers() const
{
    return std::make_shared<caller_resources>(caller_descriptors(1),
                                              options.request_memory_mb * bytes_per_mb);
}

std::string router::state::metrics_text(bool for_operators) const
{
    const auto age = platform_sync ? platform_sync->settings_age(clock::now()) : std::nullopt;
    std::string out = absl::StrCat(metrics.text(for_operators), status_provider.metrics_text(),
                                   settings_age_metric(age));
    if (for_operators)
    {
        out += traffic_metrics(peers.traffic(), poller.bytes_transferred()) +
               failed_tasks_metric(tasks.failures());
    }
    return describe_metrics(out);
}

void router::state::tick()
{
    const auto now = clock::now();
    if (platform_sync)
    {
        platform_sync->tick(now);
    }
    core.tick(now);
    claims.tick();
    const auto view = core.view();
    if (log.on_view(*view))
    {
        peers.set_peers(*view);
        services.callers->connections.set_limit(caller_descriptors(view->members().size()));
    }
    log.on_settings(core.settings().current());
    log_endpoints(now);
    if (now > labels_rotated_at + label_rotation_period)
    {
        labels_rotated_at = now;
        metrics.rotate_labels();
    }
    update_readiness();
    ticker.expires_after(tick_period);
    ticker.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
            {
                tick();
            }
        });
}

void router::state::log_endpoints(time_point now)
{
    if (now < endpoints_logged_at + endpoint_log_period)
    {
        return;
    }
    endpoints_logged_at = now;
    const auto routes = core.routes();
    for (const auto& it : owned_log.changes(core.slots().status(now), routes->endpoints()))
    {
        LOG(INFO) << it;
    }
}

void router::state::update_readiness()
{
    const bool can_serve = !services.stop.stopping() && core.settings().is_current() &&
                           (!platform_sync || platform_sync->may_become_ready());
    // A ready instance stays ready during an outage of the platform and serves with the data it
    // has.
    if (can_serve && !ready.exchange(true))
    {
        LOG(INFO) << "event=ready settings_version="
                  << core.settings().current()->stamp.version.number;
    }
}

void router::state::after(milliseconds time, void (state::*next)())
{
    drain_timer.expires_after(time);
    drain_timer.async_wait(
        [this, next](boost::system::error_code ec)
        {
            if (!ec)
            {
                (this->*next)();
            }
        });
}

void router::state::start_shutdown()
{
    const auto now = clock::now();
    listeners.stop();
    if (!started)
    {
        stop();
        return;
    }
    LOG(INFO) << "event=shutdown_started running=" << core.running();
    services.stop.begin(make_stop_schedule(now, options.drain_delay, options.grace_period));
    ready = false;
    core.leave(now);
    after(std::min(options.drain_delay, options.grace_period), &state::drain);
}

void router::state::drain()
{
    server.drain();
    operators.stop();
    await_last_request();
}

void router::state::await_last_request()
{
    const auto now = clock::now();
    cut_late_requests(now);
    const bool idle = core.running() == 0 && server.drained();
    if (idle || now >= exit_at)
    {
        after(flush_time, &state::stop);
        return;
    }
    after(drain_poll_period, &state::await_last_request);
}

void router::state::cut_late_requests(time_point now)
{
    if (exit_at == time_point::max() && now >= services.stop.schedule()->cut_at)
    {
        exit_at = now + cut_answer_time;
        server.cut();
    }
}

void router::state::stop()
{
    const auto summary = services.stop.summary();
    LOG(INFO) << "event=shutdown_complete sessions=" << server.open_sessions()
              << " refused=" << summary.refused << " cut=" << summary.cut;
    poller.stop();
    peers.close();
    io.stop();
}

router::router(router_options options) : state_{std::make_unique<state>(std::move(options))} {}

router::~router() = default;

absl::Status router::run()
{
    auto& it = *state_;
    return_large_blocks();
    absl::Status status;
    if (!it.platform_sync)
    {
        status = it.load_static();
    }
    if (!status.ok())
    {
        return status;
    }
    it.signals.async_wait(
        [&it](boost::system::error_code ec, int)
        {
            if (!ec)
            {
                it.start_shutdown();
            }
        });
    it.add_listeners();
    it.listeners.open([&it] { it.start(); },
                      [&it](const absl::Status& failure) { it.fail(failure); });
    run_threads(it.io, it.options.threads);
    return it.start_failure;
}

} // namespace mangovane

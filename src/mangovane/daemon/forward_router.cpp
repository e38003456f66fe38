// Implementation of the forwarding router daemon.
#include "mangovane/daemon/forward_router.hpp"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <ctime>
#include <optional>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <unistd.h>

#include "mangovane/daemon/control_metrics.hpp"
#include "mangovane/daemon/explain_page.hpp"
#include "mangovane/daemon/forward_metrics.hpp"
#include "mangovane/daemon/process.hpp"
#include "mangovane/daemon/quarantine_pages.hpp"
#include "mangovane/daemon/rollout_log.hpp"
#include "mangovane/net/address.hpp"
#include "mangovane/net/forward_server.hpp"
#include "mangovane/net/monitoring_server.hpp"
#include "mangovane/net/peer_network.hpp"
#include "mangovane/net/task_monitor.hpp"
#include "mangovane/observe/metric_table.hpp"
#include "mangovane/observe/request_metrics.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

constexpr milliseconds tick_period{100};

constexpr std::size_t bytes_per_mb = std::size_t{1024} * 1024;

/// A longer time between two ticks, on the steady clock or on the boot clock (which includes
/// suspensions of the machine), is logged as a pause of the process.
constexpr milliseconds logged_pause_threshold{1000};

/// Part of the grace period that is reserved for the answers of requests that were cut, the last
/// messages and the exit of the process.
constexpr milliseconds stop_margin{250};
static_assert(cut_answer_time + tick_period <= stop_margin);

/// Period in which a stop checks whether the sessions that it has cut have ended.
constexpr milliseconds cut_poll_period{20};

/// Period in which the account labels of metrics are rotated.
constexpr seconds label_rotation_period{60};

/// Time since the machine booted, including suspensions.
milliseconds boot_time()
{
    timespec it{};
    ::clock_gettime(CLOCK_BOOTTIME, &it);
    return seconds{it.tv_sec} + milliseconds{it.tv_nsec / 1'000'000};
}

forward_options make_core_options(const forward_router_options& options)
{
    forward_options result;
    result.self = make_self(options.name, options.domain, options.peer_advertise);
    result.fleet = options.fleet;
    result.rollouts = options.rollouts;
    result.admission = options.admission;
    result.endpoint_drain = options.endpoint_drain;
    result.seed = hash_combine(result.self.id.value(), result.self.epoch);
    return result;
}

/// Seeds as instances. All instances are named by their IP address and use the same peer port.
std::vector<listed_instance> seed_instances(const forward_router_options& options)
{
    const auto own = parse_address(options.peer_advertise);
    std::vector<listed_instance> result;
    for (const auto& it : options.seeds)
    {
        const auto ip = parse_address(it)->address().to_string();
        if (own && ip != options.name)
        {
            result.push_back({ip, absl::StrCat(ip, ":", own->port()), domain_id{}});
        }
    }
    return result;
}

} // namespace

struct forward_router::state
{
    state(forward_router_options opts, forward_adapter adapter)
        : options{std::move(opts)}, io{static_cast<int>(options.threads)},
          tasks{task_monitor_of(io)}, output{STDOUT_FILENO},
          log{output, log_limits{}, clock::now()}, core_options{make_core_options(options)},
          peers{io, make_peer_options(core_options.self, options.cluster_key),
                [this](instance_id from, const message& msg)
                { core.on_message(from, msg, clock::now()); }},
          core{core_options, peers, adapter.parser, clock::now()}, discovery{core, log},
          services{core,
                   adapter.dialect,
                   log,
                   metrics,
                   {},
                   byte_budget{max_held_response_bytes},
                   make_callers()},
          server{io, services}, ready_pages{io, [this](const monitoring_request&)
                                            { return ready_page(); }},
          metric_pages{io, [this](const monitoring_request& req) { return operator_page(req); }},
          source{adapter.make_source(io, discovery, options)}, stop_signals{io, SIGTERM, SIGINT},
          reload_signals{io, SIGHUP}, ticker{asio::make_strand(io)}, stop_timer{io}
    {
        if (core.admission().enabled())
        {
            services.waits = std::make_shared<admission_waits>(io, core);
        }
        tasks.on_failure(
            [this](std::string_view task, std::string_view reason)
            {
                log.write(absl::StrCat("event=task_failed task=",
                                       absl::string_view{task.data(), task.size()}, " reason=\"",
                                       absl::string_view{reason.data(), reason.size()}, "\""),
                          clock::now());
            });
    }

    [[nodiscard]] absl::Status listen();
    /// Descriptors for callers and their requests in a fleet of so many instances.
    [[nodiscard]] std::size_t caller_descriptors(std::size_t instances) const;
    [[nodiscard]] std::shared_ptr<caller_resources> make_callers() const;
    [[nodiscard]] monitoring_response ready_page() const;
    [[nodiscard]] monitoring_response operator_page(const monitoring_request& req);
    [[nodiscard]] std::string metrics_text();
    [[nodiscard]] std::string admission_metrics();
    void tick();
    void log_pause(time_point now);
    void apply_view(time_point now);
    void update_reading(time_point now);
    void update_readiness(time_point now);
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
    asio::io_context io;
    task_monitor& tasks; ///< Of `io`.
    fd_log_output output;
    event_log log;
    forward_options core_options;
    request_metrics metrics;
    peer_network peers;
    forward_core core;
    discovery_sink discovery;
    std::atomic<bool> ready{false};
    forward_services services;
    forward_server server;
    monitoring_server ready_pages;
    monitoring_server metric_pages;
    std::unique_ptr<discovery_source> source;
    asio::signal_set stop_signals;
    asio::signal_set reload_signals;
    asio::steady_timer ticker;
    asio::steady_timer stop_timer;
    time_point exit_at{}; ///< Set at the cut.
    time_point ticked_at{};
    milliseconds boot_time_at_tick{0};
    time_point labels_rotated_at{};
    std::uint64_t applied_view_version{0};
    bool reading{true}; ///< Initially true, as no other instance is known yet.
};

absl::Status forward_router::state::listen()
{
    absl::Status status = peers.listen(options.peer_listen);
    if (!options.ready_listen.empty())
    {
        status.Update(ready_pages.listen(options.ready_listen));
    }
    if (!options.metrics_listen.empty())
    {
        status.Update(metric_pages.listen(options.metrics_listen));
    }
    status.Update(server.listen(options.listen));
    return status;
}

std::size_t forward_router::state::caller_descriptors(std::size_t instances) const
{
    return descriptors_for_callers(descriptor_limit(options.descriptors), instances);
}

std::shared_ptr<caller_resources> forward_router::state::make_callers() const
{
    return std::make_shared<caller_resources>(caller_descriptors(1),
                                              options.request_memory_mb * bytes_per_mb);
}

monitoring_response forward_router::state::ready_page() const
{
    const bool is_ready = ready.load() && !services.stop.stopping();
    return {is_ready ? 200U : 503U, "text/plain", is_ready ? "ready\n" : "not ready\n"};
}

std::string forward_router::state::metrics_text()
{
    const auto settings = core.settings();
    const auto traffic = peers.traffic();
    const forward_state state{settings ? settings->stamp.version.number : 0,
                              core.quarantine().refused(clock::now()).size(),
                              traffic.bytes_sent,
                              traffic.bytes_received,
                              log.dropped(),
                              discovery.endpoints_revision().era};
    return describe_metrics(metrics.text(true) + forward_metrics(state) +
                            rollout_metrics(core.rollouts().summaries()) + admission_metrics() +
                            failed_tasks_metric(tasks.failures()));
}

std::string forward_router::state::admission_metrics()
{
    auto& admission = core.admission();
    return admission.enabled() ? admission.statistics().text(admission.waiting()) : std::string{};
}

monitoring_response forward_router::state::operator_page(const monitoring_request& req)
{
    const auto now = clock::now();
    auto page = quarantine_page(core.quarantine(), req, now);
    if (!page)
    {
        page = explain_page(core, req, now);
    }
    return page ? std::move(*page) : monitoring_response{200, {}, metrics_text()};
}

void forward_router::state::log_pause(time_point now)
{
    const auto booted = boot_time();
    const auto ticked = ticked_at == time_point{} ? now : ticked_at;
    const auto steady = std::chrono::duration_cast<milliseconds>(now - ticked);
    const auto boot = boot_time_at_tick.count() == 0 ? steady : booted - boot_time_at_tick;
    const auto pause = std::max(steady, boot);
    if (pause > logged_pause_threshold)
    {
        log.write(absl::StrCat("event=paused ms=", pause.count(), " steady_ms=", steady.count()),
                  now);
    }
    ticked_at = now;
    boot_time_at_tick = booted;
}

void forward_router::state::apply_view(time_point now)
{
    const auto view = core.view();
    if (view->version() == applied_view_version)
    {
        return;
    }
    applied_view_version = view->version();
    peers.set_peers(*view);
    services.callers->connections.set_limit(caller_descriptors(view->members().size()));
    log.write(absl::StrCat("event=members_changed version=", applied_view_version, " members=",
                           view->members().size(), " eligible=", view->eligible_count()),
              now);
}

void forward_router::state::update_reading(time_point now)
{
    const bool reads = core.should_read_store(now);
    if (reads != reading)
    {
        reading = reads;
        log.write(absl::StrCat("event=store_duty reads=", reads ? 1 : 0,
                               " endpoints_revision=", to_log_text(discovery.endpoints_revision())),
                  now);
        source->set_polling(reads);
    }
}

void forward_router::state::update_readiness(time_point now)
{
    // A ready instance stays ready during an outage of the store and serves with the data it has.
    if (!services.stop.stopping() && !ready && discovery.has_initial_state())
    {
        ready = true;
        log.write(absl::StrCat("event=ready settings=", to_log_text(core.settings()->stamp.version),
                               " endpoints_revision=", to_log_text(discovery.endpoints_revision())),
                  now);
    }
}

void forward_router::state::tick()
{
    const auto now = clock::now();
    log_pause(now);
    core.tick(now);
    discovery.tick(now);
    log_quarantine_changes(core.quarantine(), log, now);
    log_rollouts(core.rollouts(), log, now);
    update_reading(now);
    source->tick(now);
    apply_view(now);
    update_readiness(now);
    if (now > labels_rotated_at + label_rotation_period)
    {
        labels_rotated_at = now;
        metrics.rotate_labels();
    }
    log.flush(now);
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

void forward_router::state::await_stop()
{
    stop_signals.async_wait(
        [this](boost::system::error_code ec, int)
        {
            if (!ec)
            {
                begin_shutdown();
            }
        });
}

void forward_router::state::await_reload()
{
    reload_signals.async_wait(
        [this](boost::system::error_code ec, int)
        {
            if (!ec)
            {
                // Flags and environment variables are read only at the start of the process.
                log.write("event=reload effect=none", clock::now());
                await_reload();
            }
        });
}

void forward_router::state::begin_shutdown()
{
    const auto now = clock::now();
    const auto schedule =
        make_stop_schedule(now, options.drain_delay, options.grace_period - stop_margin);
    services.stop.begin(schedule);
    ready = false;
    log.write(absl::StrCat("event=stopping sessions=", server.open_sessions(),
                           " accept_ms=", remaining_ms(schedule.accept_until, now),
                           " cut_ms=", remaining_ms(schedule.cut_at, now)),
              now);
    at(schedule.accept_until, &state::refuse_connections);
}

void forward_router::state::at(time_point when, void (state::*next)())
{
    stop_timer.expires_at(when);
    stop_timer.async_wait(
        [this, next](boost::system::error_code ec)
        {
            if (!ec)
            {
                (this->*next)();
            }
        });
}

void forward_router::state::refuse_connections()
{
    server.drain();
    await_last_session();
}

void forward_router::state::await_last_session()
{
    const auto now = clock::now();
    const auto cut_at = services.stop.schedule()->cut_at;
    if (server.drained())
    {
        stop();
    }
    else if (now >= cut_at)
    {
        cut_sessions();
    }
    else
    {
        at(std::min(now + tick_period, cut_at), &state::await_last_session);
    }
}

void forward_router::state::cut_sessions()
{
    server.cut();
    exit_at = clock::now() + cut_answer_time;
    await_cut_sessions();
}

void forward_router::state::await_cut_sessions()
{
    const auto now = clock::now();
    if (server.drained() || now >= exit_at)
    {
        stop();
        return;
    }
    at(now + cut_poll_period, &state::await_cut_sessions);
}

void forward_router::state::stop()
{
    core.leave(clock::now());
    source->stop();
    at(clock::now() + tick_period, &state::exit);
}

void forward_router::state::exit()
{
    const auto now = clock::now();
    const auto summary = services.stop.summary();
    log.write_essential(absl::StrCat("event=stopped sessions=", server.open_sessions(),
                                     " refused=", summary.refused, " cut=", summary.cut),
                        now);
    log.flush(now);
    io.stop();
}

forward_router::forward_router(forward_router_options options, forward_adapter adapter)
    : state_{std::make_unique<state>(std::move(options), std::move(adapter))}
{}

forward_router::~forward_router() = default;

absl::Status forward_router::run()
{
    auto& it = *state_;
    return_large_blocks();
    // Writing to a log pipe that its reader has closed must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    const auto status = it.listen();
    if (!status.ok())
    {
        return status;
    }
    it.log.write(absl::StrCat("event=started name=", it.options.name, " domain=", it.options.domain,
                              " threads=", it.options.threads,
                              " load_factor=", it.options.fleet.bound.factor,
                              " admission=", it.options.admission.enabled ? "queue" : "off"),
                 clock::now());
    it.core.on_instance_list(seed_instances(it.options), clock::now());
    it.await_stop();
    it.await_reload();
    it.source->start();
    it.tick();
    run_threads(it.io, it.options.threads);
    return absl::OkStatus();
}

} // namespace mangovane

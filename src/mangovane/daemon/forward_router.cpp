// Implementation of the forwarding router daemon.
#include "mangovane/daemon/forward_router_state.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <ctime>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/strand.hpp>
#include <unistd.h>

#include "mangovane/daemon/control_metrics.hpp"
#include "mangovane/daemon/explain_page.hpp"
#include "mangovane/daemon/forward_metrics.hpp"
#include "mangovane/daemon/process.hpp"
#include "mangovane/daemon/quarantine_pages.hpp"
#include "mangovane/daemon/rollout_log.hpp"
#include "mangovane/net/address.hpp"
#include "mangovane/observe/metric_table.hpp"

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

/// Period in which an instance that is not ready logs what it lacks.
constexpr milliseconds missing_log_period{1000};

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

forward_router::state::state(forward_router_options opts, forward_adapter adapter)
    : options{std::move(opts)}, io{static_cast<int>(options.threads)}, tasks{task_monitor_of(io)},
      output{STDOUT_FILENO}, log{output, log_limits{}, clock::now()},
      core_options{make_core_options(options)}, startup_steps{clock::now()}, startup{metrics,
                                                                                     startup_steps,
                                                                                     log},
      peers{io, make_peer_options(core_options.self, options.cluster_key),
            [this](instance_id from, const message& msg) { on_peer_message(from, msg); }},
      core{core_options, peers, adapter.parser, clock::now()}, discovery{core, log},
      services{
          core,          adapter.dialect, log, startup, {}, byte_budget{max_held_response_bytes},
          make_callers()},
      server{io, services}, ready_pages{io,
                                        [this](const monitoring_request&) { return ready_page(); }},
      metric_pages{io, [this](const monitoring_request& req) { return operator_page(req); }},
      listeners{io,
                [this](const std::string& line)
                {
                    const auto now = clock::now();
                    log.write(line, now);
                    log.flush(now);
                }},
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
            log.write(
                absl::StrCat("event=task_failed task=", absl::string_view{task.data(), task.size()},
                             " reason=\"", absl::string_view{reason.data(), reason.size()}, "\""),
                clock::now());
        });
}

void forward_router::state::add_listeners()
{
    listeners.add(
        {"peers", options.peer_listen, [this] { return peers.listen(options.peer_listen); }});
    listeners.add({"readiness", options.ready_listen,
                   [this] { return ready_pages.listen(options.ready_listen); }, false});
    listeners.add({"metrics", options.metrics_listen,
                   [this] { return metric_pages.listen(options.metrics_listen); }, false});
    listeners.add({"callers", options.listen, [this] { return server.listen(options.listen); }});
}

void forward_router::state::start()
{
    const auto now = clock::now();
    started = true;
    log.write(absl::StrCat("event=started name=", options.name, " domain=", options.domain,
                           " threads=", options.threads, " seeds=", options.seeds.size(),
                           " load_factor=", options.fleet.bound.factor,
                           " admission=", options.admission.enabled ? "queue" : "off"),
              now);
    startup.reach(startup_step::listening, now);
    core.on_instance_list(seed_instances(options), now);
    source->start();
    tick();
}

void forward_router::state::fail(const absl::Status& status)
{
    start_failure = status;
    io.stop();
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

void forward_router::state::on_peer_message(instance_id from, const message& msg)
{
    const auto now = clock::now();
    startup.reach(startup_step::peer_heard, now);
    core.on_message(from, msg, now);
}

monitoring_response forward_router::state::ready_page()
{
    if (services.stop.stopping())
    {
        return {503U, "text/plain", "not ready: stopping\n"};
    }
    if (ready.load())
    {
        return {200U, "text/plain", "ready\n"};
    }
    const auto state = discovery.current_readiness();
    return {503U, "text/plain", absl::StrCat("not ready: ", state.missing_text(), "\n")};
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
    if (services.stop.stopping() || ready)
    {
        return;
    }
    const auto state = discovery.current_readiness();
    record_steps(state, now);
    if (!state.complete())
    {
        log_missing(state, now);
        return;
    }
    ready = true;
    startup.reach(startup_step::ready, now);
    log.write(absl::StrCat("event=ready settings=", to_log_text(core.settings()->stamp.version),
                           " endpoints_revision=", to_log_text(discovery.endpoints_revision())),
              now);
}

void forward_router::state::record_steps(const readiness& state, time_point now)
{
    const std::array<std::pair<startup_step, bool>, 3> steps{
        {{startup_step::store_answered, state.store.answered},
         {startup_step::settings_in_force, state.has_settings},
         {startup_step::endpoints_listed, state.has_endpoints}}};
    for (const auto& [step, reached] : steps)
    {
        if (reached)
        {
            startup.reach(step, now);
        }
    }
}

void forward_router::state::log_missing(const readiness& state, time_point now)
{
    if (now < next_missing_log)
    {
        return;
    }
    next_missing_log = now + missing_log_period;
    log.write(absl::StrCat("event=not_ready ", state.missing_text()), now);
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
    startup.tick(now);
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
    it.add_listeners();
    it.await_stop();
    it.await_reload();
    it.listeners.open([&it] { it.start(); },
                      [&it](const absl::Status& status) { it.fail(status); });
    run_threads(it.io, it.options.threads);
    return it.start_failure;
}

} // namespace mangovane

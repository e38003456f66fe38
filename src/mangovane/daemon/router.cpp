// Implementation of the router process.
#include "mangovane/daemon/router.hpp"

#include <atomic>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>

#include "mangovane/net/http_server.hpp"
#include "mangovane/settings/parse.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

/// Period in which the end of the last request is looked for during shutdown.
constexpr milliseconds drain_poll{50};

/// Without a platform there is no table for claims: calls with a key are refused.
class refusing_claims final : public claim_port
{
public:
    explicit refusing_claims(asio::io_context& io) : io_{io} {}

    void claim_key(claim, time_point, claim_batch::claim_handler handler) override
    {
        asio::post(
            io_, [handler = std::move(handler)]
            { handler(make_error(error_kind::store_unavailable, "no platform is configured")); });
    }

    void settle(claim, time_point, claim_batch::settle_handler handler) override
    {
        asio::post(
            io_, [handler = std::move(handler)]
            { handler(make_error(error_kind::store_unavailable, "no platform is configured")); });
    }

private:
    asio::io_context& io_;
};

class silent_sink final : public message_sink
{
public:
    void send(const outgoing_message&) override {}
};

class counting_observer final : public request_observer
{
public:
    void on_request_end(const request_record&) override { ++ended_; }
    void on_dropped_answer() override { ++dropped_; }

    [[nodiscard]] std::string text() const
    {
        return absl::StrCat("mangovane_requests_total ", ended_.load(),
                            "\nmangovane_dropped_answers_total ", dropped_.load(), "\n");
    }

private:
    std::atomic<std::uint64_t> ended_{0};
    std::atomic<std::uint64_t> dropped_{0};
};

member make_self(const router_options& options)
{
    member result;
    result.id = instance_id::of(options.name);
    result.epoch = static_cast<incarnation>(std::chrono::duration_cast<milliseconds>(
                                                std::chrono::system_clock::now().time_since_epoch())
                                                .count());
    result.name = options.name;
    result.address = options.peer_listen;
    result.domain = domain_id::of(options.domain);
    return result;
}

coordinator_options make_coordinator_options(const router_options& options)
{
    coordinator_options result;
    result.self = make_self(options);
    result.seed = hash_combine(result.self.id.value(), result.self.epoch);
    result.chat_capacity = options.chat_capacity;
    return result;
}

} // namespace

struct router::state
{
    explicit state(router_options opts)
        : options{std::move(opts)}, io{static_cast<int>(options.threads)}, claims{io},
          core{make_coordinator_options(options), sink, clock::now()},
          services{core, claims, observer, ready, [this] { return observer.text(); }, {}}, server{io, services},
          signals{io, SIGTERM, SIGINT}, drain_timer{io}
    {}

    absl::Status load_static();
    void start_shutdown();
    void await_last_request();

    router_options options;
    asio::io_context io;
    silent_sink sink;
    refusing_claims claims;
    counting_observer observer;
    std::atomic<bool> ready{false};
    coordinator core;
    front_services services;
    http_server server;
    asio::signal_set signals;
    asio::steady_timer drain_timer;
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

void router::state::start_shutdown()
{
    LOG(INFO) << "event=shutdown_started running=" << core.running();
    ready = false;
    drain_timer.expires_after(options.drain_delay);
    drain_timer.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
            {
                server.drain();
                await_last_request();
            }
        });
}

void router::state::await_last_request()
{
    if (core.running() == 0 && server.open_sessions() == 0)
    {
        LOG(INFO) << "event=shutdown_complete";
        io.stop();
        return;
    }
    drain_timer.expires_after(drain_poll);
    drain_timer.async_wait(
        [this](boost::system::error_code ec)
        {
            if (!ec)
            {
                await_last_request();
            }
        });
}

router::router(router_options options) : state_{std::make_unique<state>(std::move(options))} {}

router::~router() = default;

absl::Status router::run()
{
    auto& it = *state_;
    if (auto status = it.load_static(); !status.ok())
    {
        return status;
    }
    if (auto status = it.server.listen(it.options.listen); !status.ok())
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
    it.ready = true;
    LOG(INFO) << "event=started name=" << it.options.name << " domain=" << it.options.domain
              << " port=" << it.server.port();
    std::vector<std::thread> threads;
    for (std::uint32_t n = 1; n < it.options.threads; ++n)
    {
        threads.emplace_back([&it] { it.io.run(); });
    }
    it.io.run();
    for (auto& thread : threads)
    {
        thread.join();
    }
    return absl::OkStatus();
}

} // namespace mangovane

// An instance of its own that owns one endpoint of a plain service.
#ifndef MANGOVANE_TEST_NET_ENDPOINT_OWNER_HPP
#define MANGOVANE_TEST_NET_ENDPOINT_OWNER_HPP

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangovane/routing/coordinator.hpp"
#include "mangovane/settings/digest.hpp"

namespace mangovane::test
{

/// Has the service "ebi-ledger" and the account "parish" with the key "secret".
[[nodiscard]] inline settings_ptr ledger_settings()
{
    auto result = std::make_shared<settings_snapshot>();
    result->stamp.version = 1;
    service_policy ledger;
    ledger.id = service_id::of("ebi-ledger");
    ledger.name = "ebi-ledger";
    ledger.kind = service_kind::plain;
    ledger.min_slots = 64; // Requests of a test are not queued.
    ledger.ramp_start = ledger.min_slots;
    result->services.emplace(ledger.id, ledger);
    account_policy account;
    account.id = account_id::of("parish");
    account.name = "parish";
    result->accounts.emplace(account.id, account);
    result->accounts_by_key_hash.emplace(sha256_hex("secret"), account.id);
    return result;
}

/// Runs on one thread.
class endpoint_owner
{
public:
    explicit endpoint_owner(const std::string& endpoint_address)
    {
        endpoint_info endpoint;
        endpoint.id = endpoint_id::of("one");
        endpoint.service = service_id::of("ebi-ledger");
        endpoint.domain = domain_id::of("ikeja-a");
        endpoint.name = "one";
        endpoint.address = endpoint_address;
        const auto now = clock::now();
        core.adopt_settings(ledger_settings(), now);
        core.on_platform_list({}, std::make_shared<endpoint_directory>(std::vector{endpoint}), now);
        tick();
        core.on_endpoint_poll(endpoint.id, true, now);
    }
    ~endpoint_owner() { stop(); }
    endpoint_owner(const endpoint_owner&) = delete;
    endpoint_owner& operator=(const endpoint_owner&) = delete;

    void start()
    {
        thread_ = std::thread{[this] { io.run(); }};
    }

    void stop()
    {
        io.stop();
        if (thread_.joinable())
        {
            thread_.join();
        }
    }

private:
    class discarding_sink final : public message_sink
    {
    public:
        void send(const outgoing_message&) override {}
    };

    static coordinator_options options()
    {
        coordinator_options result;
        result.self.id = instance_id::of("r1");
        result.self.epoch = 1;
        result.self.name = "r1";
        result.self.domain = domain_id::of("ikeja-a");
        return result;
    }

    void tick()
    {
        core.tick(clock::now());
        ticker_.expires_after(milliseconds{50});
        ticker_.async_wait([this](boost::system::error_code) { tick(); });
    }

    discarding_sink sink_;

public:
    boost::asio::io_context io{1};
    coordinator core{options(), sink_, clock::now()};

private:
    boost::asio::steady_timer ticker_{io};
    std::thread thread_;
};

} // namespace mangovane::test

#endif

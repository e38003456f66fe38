// Starts mangovane-platform processes on loopback; stand-ins of the store and of the endpoints run
// inside the test process.
#ifndef MANGOVANE_TEST_PLATFORM_ROUTERS_HPP
#define MANGOVANE_TEST_PLATFORM_ROUTERS_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_text.hpp"
#include "process/child_process.hpp"
#include "process/http_client.hpp"
#include "standin/fleet_engine.hpp"
#include "standin/fleet_store.hpp"
#include "standin/hosted_server.hpp"

namespace mangovane::test
{

/// A stand-in endpoint with its HTTP server.
struct hosted_engine
{
    hosted_engine(const std::string& name, std::uint32_t events)
        : engine{{name, events}}, host{[this](const standin::request& req, standin::reply& rep)
                                       { return engine.handle(req, rep); }}
    {}

    explicit hosted_engine(standin::fleet_engine_behaviour behaviour)
        : engine{std::move(behaviour)}, host{
                                            [this](const standin::request& req, standin::reply& rep)
                                            { return engine.handle(req, rep); }}
    {}

    standin::fleet_engine engine;
    standin::hosted_server host;
};

/// Addresses at which a router reaches the store and is reached by the other routers.
struct router_links
{
    std::string store;
    std::string peer;

    auto operator<=>(const router_links&) const = default;
};

struct fleet_params
{
    std::string log_folder;        ///< Each router writes `router-<n>.log` there; empty: none.
    milliseconds drain_delay{300}; ///< From the stop signal until connections are refused.
    milliseconds grace_period{5000};
    std::uint32_t retry_slack{100}; ///< Retries per window beside those that requests earn.
    config_params config{};         ///< Configuration at the start.
    /// Addresses that router `n` gets in place of the direct ones; not set: the direct ones.
    std::function<router_links(std::size_t n, const router_links& direct)> links{};
};

class router_fleet
{
public:
    explicit router_fleet(std::size_t count, fleet_params params = {});
    ~router_fleet();

    /// Adds an endpoint, whose streams have `events` events, and its entry in the store.
    hosted_engine&
    add_engine(const std::string& name, const std::string& service, std::uint32_t events = 6);
    void write_entry(const std::string& name,
                     const std::string& service,
                     const std::string& state = "ready");
    /// Adds the entry of an endpoint that the test serves itself.
    void
    write_address(const std::string& name, const std::string& service, const std::string& address);

    /// Starts a router again, for instance after it was killed.
    void start(std::size_t n);

    [[nodiscard]] bool await_ready(std::size_t n);
    [[nodiscard]] unsigned ready_status(std::size_t n) const;

    /// Sends a request with the id on a route of the configuration.
    [[nodiscard]] http_response call(std::size_t router,
                                     const std::string& method,
                                     const std::string& route,
                                     const std::string& id,
                                     const std::string& key = "key-1") const;

    [[nodiscard]] std::string address(std::size_t n, int port) const;
    [[nodiscard]] std::string log_file(std::size_t n) const;

    standin::fleet_store store;
    std::map<std::string, std::unique_ptr<hosted_engine>> engines;
    std::vector<std::unique_ptr<child_process>> processes;

private:
    const fleet_params params_;
    standin::hosted_server store_host_;
    int first_port_{0}; ///< First of four ports that all routers use, each at its own address.
};

/// Number of executions of a request id at all endpoints.
[[nodiscard]] std::size_t runs_of(const router_fleet& fleet, const std::string& id);

} // namespace mangovane::test

#endif

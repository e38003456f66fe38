// Deployment of a soak run: routers as separate processes, with a proxy on each link, and stand-ins
// for the store and the endpoints.
#ifndef MANGOVANE_SOAK_DEPLOYMENT_HPP
#define MANGOVANE_SOAK_DEPLOYMENT_HPP

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "process/child_process.hpp"
#include "soak/link_proxy.hpp"
#include "soak/observation_recorder.hpp"
#include "standin/fleet_engine.hpp"
#include "standin/fleet_store.hpp"
#include "standin/hosted_server.hpp"

namespace mangovane::soak
{

struct deployment_options
{
    std::size_t routers{6};
    std::size_t model_endpoints{5};
    std::size_t plain_endpoints{3};
    std::string log_folder; ///< Folder of the router logs; empty: no logs.
    /// Each configuration has a route and a key that the next one removes.
    bool replaces_parts{false};
    std::uint32_t header_bytes{4096}; ///< Largest head of a request.
    bool rollouts{false};             ///< Routers have the options of rollouts.
    /// Time after SIGTERM for which a router still accepts connections.
    milliseconds drain_delay{500};

    auto operator<=>(const deployment_options&) const = default;
};

/// Table and key of a row of the store.
struct row_key
{
    std::string table;
    std::string key;

    auto operator<=>(const row_key&) const = default;
};

struct endpoint_params
{
    std::string service;
    std::string version{"v1"};
    milliseconds cold_time{0};
    bool bad{false}; ///< A part of its responses are failures.

    auto operator<=>(const endpoint_params&) const = default;
};

/// An endpoint of a service with its link and its load.
class endpoint
{
public:
    endpoint(boost::asio::io_context& io,
             std::size_t number,
             std::string domain,
             const endpoint_params& params);

    [[nodiscard]] bool cold(time_point now) const { return now < cold_until_; }

    /// Proxy between the routers and the endpoint.
    [[nodiscard]] link_proxy& link() noexcept { return link_; }

    const std::size_t number; ///< Index in the deployment.
    const std::string service;
    const std::string name;
    const std::string domain;
    const std::string version;
    const bool bad;
    standin::fleet_engine engine;
    std::atomic<int> active{0};       ///< Active requests.
    std::atomic<bool> leaving{false}; ///< It has announced its drain.
    std::atomic<bool> listed{false};  ///< It has a row in the store.
    standin::handler handle; ///< Called for each request; set before the endpoint is listed.

private:
    const time_point cold_until_;
    standin::hosted_server host_;
    link_proxy link_;
};

/// A router process with the proxies of its links.
struct router
{
    std::unique_ptr<test::child_process> process;
    std::unique_ptr<link_proxy> store_link;
    std::unique_ptr<link_proxy> peer_link; ///< Carries the connections from other routers.
    std::atomic<std::uint32_t> process_number{0};
};

class deployment
{
public:
    deployment(boost::asio::io_context& io,
               const deployment_options& options,
               observation_recorder& recorder);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts the process of a router that isn't running.
    void start(std::size_t router);

    /// `ip:port` at which a router accepts callers.
    [[nodiscard]] std::string address(std::size_t router) const { return address(router, 0); }
    /// Whether the router reports that it is ready.
    [[nodiscard]] bool ready(std::size_t router) const;

    /// Writes a new configuration version, which adds a route.
    void configure();
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    void add_endpoint(const endpoint_params& params);
    void drain(endpoint& it);
    /// Ends an endpoint without draining it, and removes its row.
    void stop_at_once(endpoint& it);

    /// Version of a service that is in force; of its endpoints that are added later.
    [[nodiscard]] std::string version_of(const std::string& service) const;
    void set_version(const std::string& service, const std::string& version);
    void order_rollout(const rollout_order& order);
    /// Text of the status row; empty if there is none.
    [[nodiscard]] std::string rollout_status(const std::string& service) const;

    /// Removes the row of an endpoint, which continues to serve.
    void remove_entry(endpoint& it);
    /// Evacuates a failure domain: its endpoints get no new requests until it is restored.
    void evacuate_domain(const std::string& domain);
    void restore_domain(const std::string& domain);

    /// Rows that operators and endpoints have written or removed after `at`.
    [[nodiscard]] std::vector<row_key> rows_written_since(time_point at) const;
    /// Writes or removes a row as before, unless it was written after `written_by`.
    void write_again(const row_key& key, time_point written_by);

    /// Executions of all requests but those of uncontrolled callers.
    [[nodiscard]] std::vector<execution_record> executions() const;

    /// All endpoints added so far, including removed ones. The pointers stay valid.
    [[nodiscard]] std::vector<endpoint*> endpoints() const;
    [[nodiscard]] std::vector<std::unique_ptr<router>>& routers() noexcept { return routers_; }
    [[nodiscard]] standin::fleet_store& store() noexcept { return store_; }
    /// Context in which proxies and callers run.
    [[nodiscard]] boost::asio::io_context& io() noexcept { return io_; }
    [[nodiscard]] static std::string domain_of(std::size_t number);

    static constexpr seconds cold_time{2};
    static constexpr double cold_rate = 9; ///< Requests per second.

private:
    [[nodiscard]] std::string address(std::size_t router, int port) const;
    /// Mean load over `own` and the endpoints of its service that accept new requests.
    [[nodiscard]] double mean_load(const endpoint& own) const;
    void list(endpoint& it, const std::string& state, milliseconds cold_left);
    /// Writes a row of the store, or removes it if there is no value.
    void write(const row_key& key, std::optional<std::string> value);
    void put_row(const row_key& key, const std::optional<std::string>& value);
    boost::asio::awaitable<void>
    serve(endpoint& it, const standin::request& req, standin::reply& rep);

    boost::asio::io_context& io_;
    const deployment_options options_;
    observation_recorder& recorder_;
    standin::fleet_store store_;
    standin::hosted_server store_host_;
    /// First of the five consecutive ports that each router uses at its own IP address.
    const int first_port_;
    std::atomic<std::uint64_t> version_{0};
    mutable std::mutex mutex_;
    std::vector<std::unique_ptr<endpoint>> endpoints_; ///< Guarded by `mutex_`; never shrinks.
    std::string domain_out_;                           ///< Evacuated domain. Guarded by `mutex_`.
    std::vector<std::unique_ptr<router>> routers_;     ///< Fixed after construction.

    /// Last write of a row by an operator or an endpoint.
    struct written_row
    {
        std::optional<std::string> value; ///< Empty: the row was removed.
        time_point at{};
    };
    /// By service; `v1` for those without an entry. Used by the thread that makes the changes.
    std::map<std::string, std::string> versions_;
    std::map<row_key, written_row> written_; ///< Used by the thread that makes the changes.
};

} // namespace mangovane::soak

#endif

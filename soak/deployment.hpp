// The deployment of a run: routers as real processes, each link through a proxy, before stand-ins
// of the store and the endpoints.
#ifndef MANGOVANE_SOAK_DEPLOYMENT_HPP
#define MANGOVANE_SOAK_DEPLOYMENT_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "process/child_process.hpp"
#include "soak/history.hpp"
#include "soak/link_proxy.hpp"
#include "standin/fleet_engine.hpp"
#include "standin/fleet_store.hpp"
#include "standin/hosted.hpp"

namespace mangovane::soak
{

struct deployment_options
{
    std::size_t routers{6};
    std::size_t model_endpoints{5};
    std::size_t plain_endpoints{3};
    std::string log_folder; ///< Logs of the routers go here; empty: nowhere.

    auto operator<=>(const deployment_options&) const = default;
};

/// An endpoint of a service, its link and its load.
class endpoint
{
public:
    endpoint(boost::asio::io_context& io,
             std::string name,
             std::string service,
             std::string domain,
             milliseconds cold_time);

    [[nodiscard]] bool cold(time_point now) const { return now < cold_until_; }

    /// The link through which routers reach it.
    [[nodiscard]] link_proxy& link() noexcept { return link_; }

    const std::string name;
    const std::string service;
    const std::string domain;
    standin::fleet_engine engine;
    std::atomic<int> active{0};       ///< Requests under way.
    std::atomic<bool> leaving{false}; ///< It has announced that it leaves.
    std::atomic<bool> listed{false};  ///< It has an entry in the store.
    standin::handler handle;          ///< Called for each request; set before it is listed.

private:
    const time_point cold_until_;
    standin::hosted host_;
    link_proxy link_;
};

/// A router's process and the links to and from it.
struct router
{
    std::unique_ptr<test::child_process> process;
    std::unique_ptr<link_proxy> store_link;
    std::unique_ptr<link_proxy> peer_link; ///< Through which other routers reach it.
    std::atomic<std::uint32_t> boot{0};
};

class deployment
{
public:
    deployment(boost::asio::io_context& io, const deployment_options& options, history& seen);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Starts the process of a router, which must not run.
    void start(std::size_t router);

    /// `ip:port` of a router for callers, and whether it says that it is ready.
    [[nodiscard]] std::string address(std::size_t router) const { return address(router, 0); }
    [[nodiscard]] bool ready(std::size_t router) const;

    /// Adds a configuration with one more route.
    void configure();
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }

    void add_endpoint(const std::string& service, milliseconds cold_time);
    void drain(endpoint& it);

    /// Removes the entry of an endpoint, which goes on serving.
    void unlist(endpoint& it);
    void take_out(const std::string& domain);
    void take_back(const std::string& domain);

    [[nodiscard]] std::vector<run_record> runs() const;

    /// Endpoints that were ever added. Their addresses stay valid.
    [[nodiscard]] std::vector<endpoint*> endpoints() const;
    [[nodiscard]] std::vector<std::unique_ptr<router>>& routers() noexcept { return routers_; }
    [[nodiscard]] standin::fleet_store& store() noexcept { return store_; }
    [[nodiscard]] static std::string domain_of(std::size_t number);

    static constexpr seconds cold_time{2};
    static constexpr double cold_rate = 9; ///< Requests a second.

private:
    [[nodiscard]] std::string address(std::size_t router, int port) const;
    /// Mean load of the endpoints of its service that take new work, itself among them.
    [[nodiscard]] double mean_load(const endpoint& own) const;
    void list(endpoint& it, const std::string& state, milliseconds cold_left);
    boost::asio::awaitable<void>
    serve(endpoint& it, const standin::request& req, standin::reply& rep);

    boost::asio::io_context& io_;
    const deployment_options options_;
    history& seen_;
    standin::fleet_store store_;
    standin::hosted store_host_;
    const int first_port_; ///< Of five in a row that each router uses at its own address.
    std::atomic<std::uint64_t> version_{0};
    mutable std::mutex mutex_;
    std::vector<std::unique_ptr<endpoint>> endpoints_; ///< Guarded by `mutex_`; only grows.
    std::string domain_out_;                           ///< Taken out now. Guarded by `mutex_`.
    std::vector<std::unique_ptr<router>> routers_;     ///< Fixed after construction.
};

} // namespace mangovane::soak

#endif

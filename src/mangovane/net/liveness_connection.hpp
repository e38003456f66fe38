// Idle connections to endpoints. The kernel ends them with the endpoint's process, so that they
// tell whether the process that sent a response was there after it.
#ifndef MANGOVANE_NET_LIVENESS_CONNECTION_HPP
#define MANGOVANE_NET_LIVENESS_CONNECTION_HPP

#include <atomic>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/net/endpoint_connections.hpp"
#include "mangovane/net/timed_socket.hpp"

namespace mangovane
{

/// Nothing is sent or read on it: only its state in the kernel counts. Thread-safe.
class liveness_connection : public std::enable_shared_from_this<liveness_connection>
{
public:
    /// Number of open objects; outlives them.
    using counter = std::shared_ptr<std::atomic<std::size_t>>;

    /// The executor must be a strand.
    liveness_connection(const boost::asio::any_io_executor& executor,
                        std::shared_ptr<endpoint_connections> connections,
                        std::string address,
                        counter open);
    ~liveness_connection();
    liveness_connection(const liveness_connection&) = delete;
    liveness_connection& operator=(const liveness_connection&) = delete;

    /// Starts to connect.
    void start();

    /// Whether it is open, or may still become so.
    [[nodiscard]] bool is_usable() const;

private:
    boost::asio::awaitable<void> connect();

    const std::shared_ptr<endpoint_connections> connections_;
    const std::string address_;
    const counter open_;
    const std::shared_ptr<timed_socket> socket_;          ///< Never null.
    std::optional<connection_registration> registration_; ///< Written by `connect` only.
    std::atomic<std::uint64_t> id_{0};                    ///< Of the registration; 0: none yet.
    std::atomic<bool> failed_{false};                     ///< The connection was not established.
};

/// The liveness connections of the responses that are being read, one for each endpoint.
/// Thread-safe; shards by the address of the endpoint.
class liveness_connections
{
public:
    explicit liveness_connections(std::shared_ptr<endpoint_connections> connections);

    /// The connection to `ip:port`, which stays open while somebody holds it. Starts a new one if
    /// there is none, or if the endpoint has closed it, as it does after a timeout. Null if too
    /// many are open.
    [[nodiscard]] std::shared_ptr<liveness_connection>
    acquire(const boost::asio::any_io_executor& executor, const std::string& address);

private:
    /// Of the descriptors that an instance keeps beside those for callers (320).
    static constexpr std::size_t max_open = 100;

    const std::shared_ptr<endpoint_connections> connections_;
    const liveness_connection::counter open_{std::make_shared<std::atomic<std::size_t>>(0)};
    sharded_map<std::string, std::weak_ptr<liveness_connection>> entries_;
};

} // namespace mangovane

#endif

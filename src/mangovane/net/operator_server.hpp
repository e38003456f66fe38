// Operator API of an instance: HTTP on a separate address, authenticated with the cluster key.
#ifndef MANGOVANE_NET_OPERATOR_SERVER_HPP
#define MANGOVANE_NET_OPERATOR_SERVER_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/net/limited_stream.hpp"
#include "mangovane/net/operator_status.hpp"

namespace mangovane
{

/// Concurrent connections of operators; the one that has waited longest is closed for a further
/// one.
inline constexpr std::size_t max_operator_connections = 64;

/// Data that the API serves. The status source outlives the server.
struct operator_services
{
    const status_source& status;
    std::function<std::string()> metrics_text; ///< Prometheus text.
    std::string key;                           ///< Cluster key; empty: every request is refused.
};

/// Whether an `Authorization` header carries the key as a bearer token. Always false if the key is
/// empty. Compares in constant time.
[[nodiscard]] bool is_authorized(std::string_view header, std::string_view key);

/// Serves `/operator/status` (JSON) and `/operator/metrics` (Prometheus text).
class operator_server
{
public:
    /// The context must have stopped or run out of work before the server is destroyed.
    operator_server(boost::asio::io_context& io, operator_services services);

    /// Listens on `ip:port`; port 0 selects a free port.
    [[nodiscard]] absl::Status listen(const std::string& address);

    /// Port that `listen` has bound; 0 before.
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /// Accepts no more connections. Open ones end after their current response or a timeout.
    /// Thread-safe.
    void stop();

private:
    void start_session(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(std::shared_ptr<limited_stream> connection);

    boost::asio::io_context& io_;
    operator_services services_;
    boost::asio::ip::tcp::acceptor acceptor_; ///< Used on its strand after `listen`.
    std::uint16_t port_{0};
    const std::shared_ptr<connection_limit> connections_; ///< At most `max_operator_connections`.
    std::atomic<bool> stopped_{false};
};

} // namespace mangovane

#endif

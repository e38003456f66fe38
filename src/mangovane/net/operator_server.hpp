// The operators' interface of an instance: HTTP on an address of its own, behind a shared key.
#ifndef MANGOVANE_NET_OPERATOR_SERVER_HPP
#define MANGOVANE_NET_OPERATOR_SERVER_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/net/operator_status.hpp"

namespace mangovane
{

/// What the interface shows. The source outlives the server.
struct operator_services
{
    const status_source& status;
    std::function<std::string()> metrics_text; ///< Prometheus text.
    std::string key;                           ///< Shared key; empty: every request is refused.
};

/// Whether an `Authorization` header carries the key. The time taken does not depend on where the
/// texts differ.
[[nodiscard]] bool is_authorized(std::string_view header, std::string_view key);

class operator_server
{
public:
    /// The context is stopped, or its work has ended, before the server is destroyed.
    operator_server(boost::asio::io_context& io, operator_services services);

    /// Listens on `ip:port`; port 0 takes a free one.
    [[nodiscard]] absl::Status listen(const std::string& address);

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /// Accepts no more connections. Open ones end after their current answer or timeout.
    void stop();

private:
    void start(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& io_;
    operator_services services_;
    boost::asio::ip::tcp::acceptor acceptor_; ///< Used on its strand after `listen`.
    std::uint16_t port_{0};
    std::atomic<std::uint32_t> open_{0}; ///< Connections; at most `max_operator_connections`.
    std::atomic<bool> stopped_{false};
};

/// Connections of operators at a time; further ones are closed at once.
inline constexpr std::uint32_t max_operator_connections = 64;

} // namespace mangovane

#endif

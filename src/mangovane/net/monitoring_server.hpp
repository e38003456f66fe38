// HTTP server for readiness checks, metrics and operators' pages, without authentication.
#ifndef MANGOVANE_NET_MONITORING_SERVER_HPP
#define MANGOVANE_NET_MONITORING_SERVER_HPP

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/net/limited_stream.hpp"

namespace mangovane
{

/// Concurrent connections of a monitoring server; the one that has waited longest is closed for a
/// further one.
inline constexpr std::size_t max_monitoring_connections = 32;

/// Method and target of a request.
struct monitoring_request
{
    std::string_view method;
    std::string_view path;

    auto operator<=>(const monitoring_request&) const = default;
};

/// Response with its HTTP status and Content-Type.
struct monitoring_response
{
    unsigned status{200};
    std::string type{"text/plain; version=0.0.4"};
    std::string body;

    bool operator==(const monitoring_response&) const = default;
};

/// Returns the response for a request. Called from any thread.
using monitoring_handler = std::function<monitoring_response(const monitoring_request&)>;

/// Answers every request with the response that the handler returns for it.
class monitoring_server
{
public:
    /// The context must have stopped or run out of work before the server is destroyed.
    monitoring_server(boost::asio::io_context& io, monitoring_handler handler);

    /// Listens on `ip:port`; port 0 selects a free port.
    [[nodiscard]] absl::Status listen(const std::string& address);

    /// Port that `listen` has bound; 0 before.
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

private:
    void start_session(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(std::shared_ptr<limited_stream> connection);

    boost::asio::io_context& io_;
    const monitoring_handler handler_;
    boost::asio::ip::tcp::acceptor acceptor_;
    const std::shared_ptr<connection_limit> connections_; ///< At most `max_monitoring_connections`.
    std::uint16_t port_{0};
};

} // namespace mangovane

#endif

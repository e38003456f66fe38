// Answers GET requests with pages made on the spot: readiness, metrics.
#ifndef MANGOVANE_NET_MONITORING_SERVER_HPP
#define MANGOVANE_NET_MONITORING_SERVER_HPP

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace mangovane
{

struct monitoring_response
{
    unsigned status{200};
    std::string type{"text/plain; version=0.0.4"};
    std::string body;

    bool operator==(const monitoring_response&) const = default;
};

/// Page for a path. Called from any thread.
using monitoring_handler = std::function<monitoring_response(std::string_view path)>;

class monitoring_server
{
public:
    /// The context is stopped, or its work has ended, before the server is destroyed.
    monitoring_server(boost::asio::io_context& io, monitoring_handler source);

    /// Listens on `ip:port`; port 0 takes a free one.
    [[nodiscard]] absl::Status listen(const std::string& address);

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& io_;
    const monitoring_handler source_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_{0};
};

} // namespace mangovane

#endif

// Answers GET requests with pages made on the spot: readiness, metrics.
#ifndef MANGOVANE_NET_PAGE_SERVER_HPP
#define MANGOVANE_NET_PAGE_SERVER_HPP

#include <functional>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace mangovane
{

struct page
{
    unsigned status{200};
    std::string type{"text/plain; version=0.0.4"};
    std::string body;

    bool operator==(const page&) const = default;
};

/// Page for a path. Called from any thread.
using page_source = std::function<page(std::string_view path)>;

class page_server
{
public:
    /// The context is stopped, or its work has ended, before the server is destroyed.
    page_server(boost::asio::io_context& io, page_source source);

    /// Listens on `ip:port`; port 0 takes a free one.
    [[nodiscard]] absl::Status listen(const std::string& address);

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

private:
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& io_;
    const page_source source_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_{0};
};

} // namespace mangovane

#endif

// Accepts connections of callers and keeps account of their sessions.
#ifndef MANGOVANE_NET_HTTP_SERVER_HPP
#define MANGOVANE_NET_HTTP_SERVER_HPP

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <string>

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/net/front_services.hpp"

namespace mangovane
{

class caller_session;

class http_server
{
public:
    http_server(boost::asio::io_context& io, front_services& services);
    ~http_server();

    /// Listens on `ip:port`; port 0 takes a free one.
    [[nodiscard]] absl::Status listen(const std::string& address);

    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /// Accepts no more connections and lets each session end after its current answer.
    void drain();

    /// Sessions that are open.
    [[nodiscard]] std::size_t open_sessions() const;

private:
    boost::asio::awaitable<void> accept();
    void serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context& io_;
    front_services& services_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_{0};
    mutable std::mutex mutex_;
    absl::flat_hash_set<std::shared_ptr<caller_session>> sessions_; ///< Guarded by `mutex_`.
    bool draining_{false};                                          ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

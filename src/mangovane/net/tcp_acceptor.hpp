// Opening of listening sockets.
#ifndef MANGOVANE_NET_TCP_ACCEPTOR_HPP
#define MANGOVANE_NET_TCP_ACCEPTOR_HPP

#include <functional>
#include <string>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace mangovane
{

/// Opens, binds and listens on `ip:port`; port 0 takes a free one.
[[nodiscard]] absl::Status open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                         const std::string& address);

/// Accepts until the acceptor is closed; each socket has a strand of its own. The acceptor and the
/// context outlive the coroutine.
boost::asio::awaitable<void>
accept_connections(boost::asio::ip::tcp::acceptor& acceptor,
                   boost::asio::io_context& io,
                   std::function<void(boost::asio::ip::tcp::socket)> serve);

} // namespace mangovane

#endif

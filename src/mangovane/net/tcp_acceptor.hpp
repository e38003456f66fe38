// Listening sockets and the accept loop.
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

/// Opens, binds and listens on `ip:port`; port 0 selects a free port.
/// Errors: `kInvalidArgument` for a malformed address, `kUnavailable` if another socket holds it or
/// the machine does not have it yet, `kFailedPrecondition` if it cannot be bound for another
/// reason.
[[nodiscard]] absl::Status open_acceptor(boost::asio::ip::tcp::acceptor& acceptor,
                                         const std::string& address);

/// Passes a connection to `serve`. An exception, for example for lack of memory, is reported and
/// ends only this connection: an accept loop that it ended would leave the instance unreachable.
void serve_accepted(const boost::asio::any_io_executor& executor,
                    boost::asio::ip::tcp::socket socket,
                    const std::function<void(boost::asio::ip::tcp::socket)>& serve);

/// Accepts connections until the acceptor is closed and passes them to `serve`; each socket gets a
/// strand of its own. The acceptor and the context outlive the coroutine.
boost::asio::awaitable<void>
accept_connections(boost::asio::ip::tcp::acceptor& acceptor,
                   boost::asio::io_context& io,
                   std::function<void(boost::asio::ip::tcp::socket)> serve);

} // namespace mangovane

#endif

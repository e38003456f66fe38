// Checks a socket for pending data or a closed connection without consuming bytes.
#ifndef MANGOVANE_NET_PEEK_HPP
#define MANGOVANE_NET_PEEK_HPP

#include <boost/asio/ip/tcp.hpp>

namespace mangovane
{

/// State of the receiving side of a socket.
enum class peek_result : std::uint8_t
{
    no_data, ///< Nothing to read.
    data,    ///< Bytes can be read.
    closed,  ///< The peer has closed the connection, or the connection has failed.
};

/// Does not block. A wait for readability may complete spuriously; only a peek tells whether the
/// peer has closed the connection. Takes the error of a connection that has failed. Switches the
/// socket to non-blocking mode.
[[nodiscard]] peek_result peek(boost::asio::ip::tcp::socket& socket);

/// Whether bytes, or the end of the connection, have arrived and were not read. Does not block.
/// Leaves the error of a connection that was reset to the read, unlike a peek, after which a read
/// would see an end in order.
[[nodiscard]] bool is_readable(boost::asio::ip::tcp::socket& socket);

/// Whether the socket accepts bytes now, or its connection has failed. Does not block.
[[nodiscard]] bool is_writable(boost::asio::ip::tcp::socket& socket);

} // namespace mangovane

#endif

// What a connection holds, without taking it.
#ifndef MANGOVANE_NET_PEEK_HPP
#define MANGOVANE_NET_PEEK_HPP

#include <boost/asio/ip/tcp.hpp>

namespace mangovane
{

enum class peek_result : std::uint8_t
{
    no_data, ///< Nothing has come.
    data,    ///< Bytes can be read.
    closed,  ///< The other side has closed the connection, or it has failed.
};

/// Does not wait. A wait for readability may end without any reason to read: only this tells
/// whether the other side is gone.
[[nodiscard]] peek_result peek(boost::asio::ip::tcp::socket& socket);

} // namespace mangovane

#endif

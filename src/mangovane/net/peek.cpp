// Non-blocking peek at a socket.
#include "mangovane/net/peek.hpp"

#include <poll.h>

#include <boost/asio/buffer.hpp>

namespace mangovane
{

namespace asio = boost::asio;

peek_result peek(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ec;
    char byte = 0;
    socket.non_blocking(true, ec);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
    if (ec == asio::error::would_block)
    {
        return peek_result::no_data;
    }
    return ec ? peek_result::closed : peek_result::data;
}

bool is_readable(asio::ip::tcp::socket& socket)
{
    pollfd state{socket.native_handle(), POLLIN, 0};
    return ::poll(&state, 1, 0) == 1;
}

bool is_writable(asio::ip::tcp::socket& socket)
{
    pollfd state{socket.native_handle(), POLLOUT, 0};
    return ::poll(&state, 1, 0) == 1;
}

} // namespace mangovane

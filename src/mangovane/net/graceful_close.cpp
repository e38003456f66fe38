// Implementation of the graceful close.
#include "mangovane/net/graceful_close.hpp"

#include <array>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/net/peek.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t drop_buffer_bytes = std::size_t{2} * 1024;

} // namespace

asio::awaitable<void> graceful_close(asio::ip::tcp::socket& socket,
                                     socket_deadline& deadline,
                                     time_point give_up_at,
                                     std::shared_ptr<void> owner)
{
    boost::system::error_code ec;
    socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    deadline.start(
        give_up_at, [&socket, owner] { return peek(socket) != peek_result::no_data; },
        [&socket, owner]
        {
            boost::system::error_code ignored;
            socket.close(ignored);
        });
    std::array<char, drop_buffer_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
    std::size_t dropped = 0;
    while (!ec && dropped < max_dropped_bytes)
    {
        dropped += co_await socket.async_read_some(asio::buffer(buf),
                                                   asio::redirect_error(asio::use_awaitable, ec));
    }
    deadline.stop();
    socket.close(ec);
}

} // namespace mangovane

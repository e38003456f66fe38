// Implementation of the check for a crashed endpoint.
#include "mangovane/net/crash_check.hpp"

#include <memory>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/net/address.hpp"

namespace mangovane
{

namespace asio = boost::asio;

asio::awaitable<bool>
refuses_connections(const std::string& address, milliseconds delay, milliseconds timeout)
{
    const auto endpoint = parse_address(address);
    if (!endpoint)
    {
        co_return false;
    }
    const auto executor = co_await asio::this_coro::executor;
    boost::system::error_code ec;
    asio::steady_timer timer{executor, delay};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    const auto socket = std::make_shared<asio::ip::tcp::socket>(executor);
    timer.expires_after(timeout);
    timer.async_wait(
        [socket](boost::system::error_code wait_error)
        {
            if (!wait_error)
            {
                boost::system::error_code ignored;
                socket->close(ignored);
            }
        });
    co_await socket->async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    co_return ec == asio::error::connection_refused;
}

} // namespace mangovane

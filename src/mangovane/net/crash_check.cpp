// Implementation of the check for a crashed endpoint.
#include "mangovane/net/crash_check.hpp"

#include <memory>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/peek.hpp"
#include "mangovane/net/timed_socket.hpp"

namespace mangovane
{

namespace asio = boost::asio;

asio::awaitable<void> sleep_for(milliseconds time)
{
    boost::system::error_code ec;
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<connect_outcome>
try_connect(const std::string& address, milliseconds delay, milliseconds timeout)
{
    const auto endpoint = parse_address(address);
    if (!endpoint)
    {
        co_return connect_outcome::unanswered;
    }
    co_await sleep_for(delay);
    boost::system::error_code ec;
    const auto socket = std::make_shared<timed_socket>(co_await asio::this_coro::executor);
    socket->expire_at(clock::now() + timeout, is_writable);
    co_await socket->socket().async_connect(*endpoint,
                                            asio::redirect_error(asio::use_awaitable, ec));
    socket->close();
    const auto failure = ec == asio::error::connection_refused ? connect_outcome::refused
                                                               : connect_outcome::unanswered;
    co_return ec ? failure : connect_outcome::accepted;
}

} // namespace mangovane

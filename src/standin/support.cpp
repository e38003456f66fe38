// Implementation of the common functions of the stand-ins.
#include "standin/support.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mangovane::standin
{

namespace asio = boost::asio;

asio::awaitable<void> pause_for(milliseconds time)
{
    if (time.count() == 0)
    {
        co_return;
    }
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

} // namespace mangovane::standin

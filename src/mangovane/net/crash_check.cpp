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

namespace
{

/// A connection with an event every 32 ms is silent for 20 ms in one of three samples.
constexpr int max_samples = 10;

} // namespace

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
    const auto socket = std::make_shared<timed_socket>(executor);
    socket->expire_at(clock::now() + timeout, is_writable);
    co_await socket->socket().async_connect(*endpoint,
                                            asio::redirect_error(asio::use_awaitable, ec));
    socket->close();
    co_return ec == asio::error::connection_refused;
}

asio::awaitable<bool> process_has_ended(endpoint_connections& connections,
                                        const std::string& address,
                                        const crash_check_timing& timing,
                                        time_point give_up_at)
{
    const auto before = connections.sample(address);
    const bool refuses = co_await refuses_connections(address, timing.delay, timing.timeout);
    if (!refuses)
    {
        co_return false;
    }
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer{executor};
    auto wait = timing.proof_delay;
    for (int n = 0; n != max_samples && any_remains(before, connections.sample(address)); ++n)
    {
        if (clock::now() + wait > give_up_at)
        {
            break;
        }
        boost::system::error_code ec;
        timer.expires_after(wait);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        if (any_shows_process(before, connections.sample(address)))
        {
            co_return false;
        }
        wait = timing.sample_interval;
    }
    co_return true;
}

} // namespace mangovane

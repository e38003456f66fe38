// Listening sockets and the accept loop.
#include "mangovane/net/tcp_acceptor.hpp"

#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/address.hpp"
#include "mangovane/net/spawn.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

/// Wait after a failed accept, for example when the process is out of file descriptors.
constexpr milliseconds accept_retry_delay{50};

} // namespace

absl::Status open_acceptor(asio::ip::tcp::acceptor& acceptor, const std::string& address)
{
    const auto endpoint = parse_address(address);
    if (!endpoint)
    {
        return absl::InvalidArgumentError(absl::StrCat("not a valid ip:port: ", address));
    }
    boost::system::error_code ec;
    acceptor.open(endpoint->protocol(), ec);
    if (!ec)
    {
        acceptor.set_option(asio::socket_base::reuse_address{true}, ec);
    }
    if (!ec)
    {
        acceptor.bind(*endpoint, ec);
    }
    if (!ec)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (!ec)
    {
        return absl::OkStatus();
    }
    const auto reason = absl::StrCat("cannot listen on ", address, ": ", ec.message());
    const bool may_pass =
        ec == asio::error::address_in_use || ec == boost::system::errc::address_not_available;
    acceptor.close(ec);
    return may_pass ? absl::UnavailableError(reason) : absl::FailedPreconditionError(reason);
}

void serve_accepted(const asio::any_io_executor& executor,
                    asio::ip::tcp::socket socket,
                    const std::function<void(asio::ip::tcp::socket)>& serve)
{
    try
    {
        serve(std::move(socket));
    }
    catch (...)
    {
        monitor_of(executor).report("accept", std::current_exception());
    }
}

asio::awaitable<void> accept_connections(asio::ip::tcp::acceptor& acceptor,
                                         asio::io_context& io,
                                         std::function<void(asio::ip::tcp::socket)> serve)
{
    while (acceptor.is_open())
    {
        boost::system::error_code ec;
        auto socket = co_await acceptor.async_accept(asio::make_strand(io),
                                                     asio::redirect_error(asio::use_awaitable, ec));
        if (!ec)
        {
            serve_accepted(acceptor.get_executor(), std::move(socket), serve);
        }
        else if (acceptor.is_open())
        {
            asio::steady_timer timer{acceptor.get_executor(), accept_retry_delay};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

} // namespace mangovane

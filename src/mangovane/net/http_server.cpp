// Implementation of the callers' HTTP server.
#include "mangovane/net/http_server.hpp"

#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/caller_session.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

/// Pause after a failed accept, for instance when the process has no free descriptor.
constexpr milliseconds accept_pause{50};

} // namespace

http_server::http_server(asio::io_context& io, front_services& services)
    : io_{io}, services_{services}, acceptor_{asio::make_strand(io)}
{}

http_server::~http_server() = default;

absl::Status http_server::listen(const std::string& address)
{
    const auto endpoint = parse_address(address);
    if (!endpoint)
    {
        return absl::InvalidArgumentError(absl::StrCat("not an ip:port: ", address));
    }
    boost::system::error_code ec;
    acceptor_.open(endpoint->protocol(), ec);
    if (!ec)
    {
        acceptor_.set_option(asio::socket_base::reuse_address{true}, ec);
    }
    if (!ec)
    {
        acceptor_.bind(*endpoint, ec);
    }
    if (!ec)
    {
        acceptor_.listen(asio::socket_base::max_listen_connections, ec);
    }
    if (ec)
    {
        return absl::UnavailableError(
            absl::StrCat("cannot listen on ", address, ": ", ec.message()));
    }
    port_ = acceptor_.local_endpoint().port();
    asio::co_spawn(acceptor_.get_executor(), accept(), asio::detached);
    return absl::OkStatus();
}

asio::awaitable<void> http_server::accept()
{
    while (acceptor_.is_open())
    {
        boost::system::error_code ec;
        auto socket = co_await acceptor_.async_accept(
            asio::make_strand(io_), asio::redirect_error(asio::use_awaitable, ec));
        if (!ec)
        {
            serve(std::move(socket));
        }
        else if (acceptor_.is_open())
        {
            asio::steady_timer timer{acceptor_.get_executor(), accept_pause};
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        }
    }
}

void http_server::serve(asio::ip::tcp::socket socket)
{
    const auto executor = socket.get_executor();
    auto session = std::make_shared<caller_session>(std::move(socket), services_);
    {
        const std::lock_guard lock{mutex_};
        if (draining_)
        {
            return;
        }
        sessions_.insert(session);
    }
    asio::co_spawn(executor, session->run(),
                   [this, session](std::exception_ptr)
                   {
                       const std::lock_guard lock{mutex_};
                       sessions_.erase(session);
                   });
}

void http_server::drain()
{
    asio::post(acceptor_.get_executor(),
               [this]
               {
                   boost::system::error_code ec;
                   acceptor_.close(ec);
               });
    const std::lock_guard lock{mutex_};
    draining_ = true;
    for (const auto& it : sessions_)
    {
        it->drain_soon();
    }
}

std::size_t http_server::open_sessions() const
{
    const std::lock_guard lock{mutex_};
    return sessions_.size();
}

} // namespace mangovane

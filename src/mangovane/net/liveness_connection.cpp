// Implementation of the liveness connections.
#include "mangovane/net/liveness_connection.hpp"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/peek.hpp"
#include "mangovane/net/spawn.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

/// Below 1 s, after which TCP repeats a lost SYN.
constexpr milliseconds connect_timeout{250};

} // namespace

liveness_connection::liveness_connection(const asio::any_io_executor& executor,
                                         std::shared_ptr<endpoint_connections> connections,
                                         std::string address,
                                         counter open)
    : connections_{std::move(connections)}, address_{std::move(address)}, open_{std::move(open)},
      socket_{std::make_shared<timed_socket>(executor)}
{
    ++*open_;
}

liveness_connection::~liveness_connection()
{
    --*open_;
    registration_.reset();
    asio::post(socket_->socket().get_executor(), [socket = socket_] { socket->close(); });
}

void liveness_connection::start()
{
    spawn(socket_->socket().get_executor(), "liveness_connection",
          [](std::shared_ptr<liveness_connection> self) -> asio::awaitable<void>
          { co_await self->connect(); }(shared_from_this()));
}

asio::awaitable<void> liveness_connection::connect()
{
    const auto endpoint = parse_address(address_);
    if (!endpoint)
    {
        failed_ = true;
        co_return;
    }
    boost::system::error_code ec;
    socket_->expire_at(clock::now() + connect_timeout, is_writable);
    co_await socket_->socket().async_connect(*endpoint,
                                             asio::redirect_error(asio::use_awaitable, ec));
    socket_->stop();
    if (ec)
    {
        failed_ = true;
        co_return;
    }
    registration_.emplace(connections_, address_, socket_->socket().native_handle(), true);
    id_ = registration_->id();
}

bool liveness_connection::is_usable() const
{
    const auto id = id_.load();
    return !failed_ && (id == 0 || connections_->is_established(address_, id));
}

liveness_connections::liveness_connections(std::shared_ptr<endpoint_connections> connections)
    : connections_{std::move(connections)}
{}

std::shared_ptr<liveness_connection>
liveness_connections::acquire(const asio::any_io_executor& executor, const std::string& address)
{
    std::shared_ptr<liveness_connection> held;
    entries_.find(address, [&](const std::weak_ptr<liveness_connection>& it) { held = it.lock(); });
    if (held && held->is_usable())
    {
        return held;
    }
    if (*open_ >= max_open)
    {
        return nullptr;
    }
    auto result = std::make_shared<liveness_connection>(executor, connections_, address, open_);
    entries_.with_shard(address,
                        [&](auto& entries)
                        {
                            absl::erase_if(entries,
                                           [](const auto& it) { return it.second.expired(); });
                            entries[address] = result;
                        });
    result->start();
    return result;
}

} // namespace mangovane

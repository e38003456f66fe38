// Implementation of the connection pool.
#include "mangovane/store/http_pool.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/peek.hpp"
#include "mangovane/net/socket_options.hpp"
#include "mangovane/net/spawn.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

/// A connection whose data the store does not acknowledge for this long is closed; a long poll
/// would not detect the broken link.
constexpr milliseconds max_unacknowledged_time{2000};

/// A lost packet of the handshake is sent again after 1 s; a new connection is as fast.
constexpr milliseconds connect_timeout{1000};

/// Limit on the read buffer, and so on a head, a chunk header with its extensions and a trailer
/// section.
constexpr std::size_t max_read_buffer_bytes = std::size_t{64} * 1024;

/// Of a call that was not sent.
absl::Status deadline_passed()
{
    return absl::DeadlineExceededError("the deadline of a call to the platform has passed");
}

absl::Status status_from(const timed_socket& conn, const beast::error_code& ec)
{
    if (conn.expired())
    {
        return absl::DeadlineExceededError("no response from the platform before the deadline");
    }
    return absl::UnavailableError(absl::StrCat("connection to the platform: ", ec.message()));
}

/// Whether the peer neither closed the connection nor sent anything since the last response.
/// Reusing a closed connection would lose a write, whose outcome then has to be read back.
bool is_reusable(asio::ip::tcp::socket& socket)
{
    return peek(socket) == peek_result::no_data;
}

} // namespace

http_pool::http_pool(asio::io_context& io, std::string address, std::string kept_field)
    : strand_{asio::make_strand(io)}, address_{std::move(address)},
      kept_field_{std::move(kept_field)}, endpoint_{parse_address(address_)}
{}

void http_pool::send(request req, time_point deadline, handler done)
{
    asio::co_spawn(strand_, run(std::move(req), deadline),
                   [self = shared_from_this(), done = std::move(done)](
                       std::exception_ptr error, absl::StatusOr<http_response> response) mutable
                   {
                       if (error)
                       {
                           monitor_of(self->strand_).report("store_call", error);
                           response = absl::InternalError("the call to the platform failed");
                       }
                       asio::post(self->strand_.get_inner_executor(),
                                  [done = std::move(done), response = std::move(response)]() mutable
                                  { done(std::move(response)); });
                   });
}

asio::awaitable<absl::StatusOr<http_response>> http_pool::run(request req, time_point deadline)
{
    if (!endpoint_)
    {
        co_return absl::InvalidArgumentError("the platform's address is not of the form ip:port");
    }
    const auto acquired = co_await acquire(deadline);
    if (!acquired.ok())
    {
        co_return acquired;
    }
    const connection_slot slot{*this};
    auto response = co_await exchange(req, deadline);
    co_return response;
}

asio::awaitable<absl::Status> http_pool::acquire(time_point deadline)
{
    if (clock::now() >= deadline)
    {
        co_return deadline_passed();
    }
    if (connections_in_use_ < max_connections)
    {
        ++connections_in_use_;
        co_return absl::OkStatus();
    }
    if (queued_calls_.size() >= max_queued_calls)
    {
        co_return absl::ResourceExhaustedError("too many calls to the platform are queued");
    }
    asio::steady_timer timer{strand_, deadline};
    queued_calls_.push_back(&timer);
    beast::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    // `release` removes the timer from the queue when it hands over its connection.
    const auto it = std::find(queued_calls_.begin(), queued_calls_.end(), &timer);
    if (it == queued_calls_.end())
    {
        co_return absl::OkStatus();
    }
    queued_calls_.erase(it);
    co_return absl::DeadlineExceededError(
        "no connection to the platform was available before the deadline");
}

void http_pool::release()
{
    if (queued_calls_.empty())
    {
        --connections_in_use_;
        return;
    }
    auto* timer = queued_calls_.front();
    queued_calls_.pop_front();
    timer->cancel();
}

http_pool::connection http_pool::take_idle()
{
    const auto oldest = clock::now() - max_idle_time;
    while (!idle_.empty())
    {
        auto last = std::move(idle_.back());
        idle_.pop_back();
        if (last.since >= oldest && is_reusable(last.socket->socket()))
        {
            return std::move(last.socket);
        }
    }
    return nullptr;
}

asio::awaitable<absl::Status> http_pool::connect(const connection& conn, time_point deadline)
{
    conn->expire_at(std::min(deadline, clock::now() + connect_timeout), is_writable);
    beast::error_code ec;
    co_await conn->socket().async_connect(*endpoint_,
                                          asio::redirect_error(asio::use_awaitable, ec));
    if (ec && conn->expired())
    {
        // Not a late answer: waiting for longer would not help.
        co_return absl::UnavailableError("no connection to the platform in time");
    }
    if (ec)
    {
        co_return status_from(*conn, ec);
    }
    enable_dead_peer_detection(conn->socket(), max_unacknowledged_time);
    co_return absl::OkStatus();
}

asio::awaitable<absl::StatusOr<http_response>> http_pool::exchange(request& req,
                                                                   time_point deadline)
{
    auto conn = take_idle();
    if (!conn)
    {
        conn = std::make_shared<timed_socket>(strand_);
        const auto connected = co_await connect(conn, deadline);
        conn->stop();
        if (!connected.ok())
        {
            co_return connected;
        }
    }
    if (clock::now() >= deadline)
    {
        co_return deadline_passed();
    }
    auto response = co_await exchange_on(conn, req, deadline);
    conn->stop();
    co_return response;
}

asio::awaitable<absl::StatusOr<http_response>>
http_pool::exchange_on(const connection& conn, request& req, time_point deadline)
{
    conn->expire_at(deadline, is_writable);
    req.set(http::field::host, address_);
    req.keep_alive(true);
    req.prepare_payload();
    beast::error_code ec;
    co_await http::async_write(conn->socket(), req, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        co_return status_from(*conn, ec);
    }
    beast::flat_buffer buf{max_read_buffer_bytes};
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_bytes);
    conn->expire_at(deadline, is_readable);
    co_await http::async_read(conn->socket(), buf, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        co_return status_from(*conn, ec);
    }
    auto res = parser.release();
    if (res.keep_alive() && buf.size() == 0)
    {
        idle_.push_back(idle_connection{conn, clock::now()});
    }
    http_response result{res.result_int(), std::move(res.body())};
    if (!kept_field_.empty())
    {
        const auto value = res[kept_field_];
        result.field.assign(value.data(), value.size());
    }
    co_return result;
}

} // namespace mangovane

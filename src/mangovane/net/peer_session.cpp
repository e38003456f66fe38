// Authenticates a peer and passes its messages to the handler.
#include "mangovane/net/peer_session.hpp"

#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <glog/logging.h>

#include "mangovane/net/hello_mac.hpp"
#include "mangovane/net/peek.hpp"
#include "mangovane/net/socket_options.hpp"

namespace mangovane::internal
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace
{

/// Rejected connections are logged at most once in this time.
constexpr int log_period_seconds = 60;

/// A peer that acknowledges no data for this long is unreachable or has lost power.
constexpr milliseconds dead_peer_timeout{5000};

/// A peer sends its hello as soon as it is connected.
constexpr milliseconds hello_timeout{5000};

} // namespace

peer_session::peer_session(asio::ip::tcp::socket socket, std::shared_ptr<peer_context> context)
    : socket_{std::move(socket)}, context_{std::move(context)}, hello_deadline_{
                                                                    socket_.get_executor()}
{}

bool peer_session::open()
{
    const auto on_evicted = [weak = weak_from_this()]
    {
        if (const auto it = weak.lock())
        {
            it->close();
        }
    };
    place_ = context_->unauthenticated.admit(on_evicted, clock::now());
    return place_.has_value();
}

void peer_session::start_hello_deadline()
{
    hello_deadline_.start(
        clock::now() + hello_timeout,
        [self = shared_from_this()] { return peek(self->socket_) == peek_result::data; },
        [self = shared_from_this()]
        {
            error_code ec;
            self->socket_.close(ec);
        });
}

asio::awaitable<void> peer_session::run(std::shared_ptr<peer_session> self)
{
    enable_dead_peer_detection(self->socket_, dead_peer_timeout);
    self->start_hello_deadline();
    bool open = co_await self->read_frame(max_hello_bytes);
    self->hello_deadline_.stop();
    auto status = open ? self->accept_hello() : absl::OkStatus();
    self->place_.reset();
    while (open && status.ok())
    {
        open = co_await self->read_frame(max_settings_frame_bytes);
        status = open ? self->accept_messages() : absl::OkStatus();
    }
    if (!status.ok())
    {
        self->reject(status);
    }
    error_code ec;
    self->socket_.close(ec);
}

void peer_session::close()
{
    asio::post(socket_.get_executor(),
               [self = shared_from_this()]
               {
                   error_code ec;
                   self->socket_.close(ec);
               });
}

asio::awaitable<bool> peer_session::read_frame(std::size_t max_bytes)
{
    error_code ec;
    co_await asio::async_read(socket_, asio::buffer(length_prefix_),
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        co_return false;
    }
    const auto n = read_frame_length(length_prefix_, max_bytes);
    if (!n.ok())
    {
        reject(n.status());
        co_return false;
    }
    body_.resize(*n);
    co_await asio::async_read(socket_, asio::buffer(body_),
                              asio::redirect_error(asio::use_awaitable, ec));
    context_->counters.bytes_received += ec ? 0 : *n + frame_prefix_bytes;
    context_->counters.frames_received += ec ? 0 : 1;
    co_return !ec;
}

absl::Status peer_session::accept_hello()
{
    const auto first = decode_frame({body_.data(), body_.size()}, clock::now());
    if (!first.ok())
    {
        return first.status();
    }
    if (!verify_hello_mac(context_->options.cluster_key, *first))
    {
        return absl::UnauthenticatedError("wrong cluster key");
    }
    if (first->sender_hello->receiver != context_->options.id)
    {
        return absl::FailedPreconditionError("the connection is for another instance");
    }
    peer_ = first->sender;
    epoch_ = first->epoch;
    context_->on_peer_address(peer_, first->sender_hello->address);
    return absl::OkStatus();
}

absl::Status peer_session::accept_messages()
{
    const auto value = decode_frame({body_.data(), body_.size()}, clock::now());
    if (!value.ok())
    {
        return value.status();
    }
    if (value->sender != peer_ || value->epoch != epoch_)
    {
        return absl::InvalidArgumentError("the sender changed inside a connection");
    }
    if (context_->is_blocked(peer_))
    {
        return absl::OkStatus();
    }
    for (const auto& it : value->messages)
    {
        context_->handler(peer_, it);
    }
    return absl::OkStatus();
}

void peer_session::reject(const absl::Status& status)
{
    ++context_->counters.connections_refused;
    error_code ec;
    const auto remote = socket_.remote_endpoint(ec);
    LOG_EVERY_T(WARNING, log_period_seconds)
        << "event=peer_refused remote=" << remote.address().to_string() << " reason=\""
        << std::string{status.message()} << "\"";
}

} // namespace mangovane::internal

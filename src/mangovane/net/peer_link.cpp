// Implementation of the outgoing connection to one peer.
#include "mangovane/net/peer_link.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/key_proof.hpp"
#include "mangovane/net/socket_options.hpp"

namespace mangovane::internal
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace
{

constexpr milliseconds batch_time{2};
constexpr std::size_t max_queue_bytes = 1024 * 1024;
constexpr milliseconds first_retry_pause{50};
constexpr milliseconds last_retry_pause{1000};
constexpr milliseconds connect_timeout{500};

/// A peer that acknowledges nothing for this long is cut off or has lost power.
constexpr milliseconds peer_silence{2000};

constexpr milliseconds renewal_pause{1000};

/// Older messages are dropped: their senders have given up waiting for an answer.
constexpr milliseconds max_message_age{2000};

/// Approximate size on the wire of a message without lists.
constexpr std::size_t base_bytes = 96;

std::size_t size_estimate(const message& msg)
{
    if (const auto* it = std::get_if<slot_renewal>(&msg))
    {
        return base_bytes + it->slots.size() * sizeof(held_slot);
    }
    if (std::holds_alternative<probe>(msg) || std::holds_alternative<probe_ack>(msg))
    {
        return base_bytes * (1 + max_updates_per_probe);
    }
    return base_bytes;
}

} // namespace

peer_link::peer_link(asio::io_context& io, std::shared_ptr<peer_context> context, instance_id to)
    : strand_{asio::make_strand(io)}, context_{std::move(context)}, to_{to}, socket_{strand_},
      timer_{strand_}, retry_pause_{first_retry_pause}
{}

void peer_link::push(message msg)
{
    const auto bytes = size_estimate(msg);
    {
        const std::lock_guard lock{mutex_};
        if (closed_)
        {
            return;
        }
        if (auto* it = std::get_if<settings_content>(&msg))
        {
            settings_ = std::move(*it);
        }
        else
        {
            queue_.push_back({std::move(msg), bytes, clock::now()});
            queue_bytes_ += bytes;
        }
        while (queue_bytes_ > max_queue_bytes && queue_.size() > 1)
        {
            queue_bytes_ -= queue_.front().bytes;
            queue_.pop_front();
            drop(1);
        }
        if (std::exchange(running_, true))
        {
            return;
        }
    }
    asio::co_spawn(strand_, run(shared_from_this()), asio::detached);
}

void peer_link::set_address(const std::string& address)
{
    const std::lock_guard lock{mutex_};
    if (address_ == address)
    {
        return;
    }
    address_ = address;
    asio::post(strand_,
               [self = shared_from_this()]
               {
                   error_code ec;
                   self->socket_.close(ec);
               });
}

void peer_link::request_reconnect()
{
    const auto now = clock::now();
    const std::lock_guard lock{mutex_};
    if (now >= renewed_at_ + renewal_pause)
    {
        renewed_at_ = now;
        renewal_wanted_ = true;
    }
}

void peer_link::renew_if_wanted()
{
    const std::lock_guard lock{mutex_};
    if (std::exchange(renewal_wanted_, false))
    {
        error_code ec;
        socket_.close(ec);
    }
}

void peer_link::close()
{
    {
        const std::lock_guard lock{mutex_};
        closed_ = true;
        queue_.clear();
        settings_.reset();
    }
    asio::post(strand_,
               [self = shared_from_this()]
               {
                   error_code ec;
                   self->socket_.close(ec);
                   self->timer_.cancel();
               });
}

asio::awaitable<void> peer_link::run(std::shared_ptr<peer_link> self)
{
    while (!self->stop_when_empty())
    {
        co_await self->pause(batch_time);
        self->renew_if_wanted();
        bool open = self->socket_.is_open();
        if (!open)
        {
            open = co_await self->connect();
        }
        if (open)
        {
            co_await self->flush();
        }
        else
        {
            co_await self->pause(self->retry_pause_);
            self->retry_pause_ = std::min<duration>(self->retry_pause_ * 2, last_retry_pause);
        }
    }
}

asio::awaitable<bool> peer_link::connect()
{
    const auto endpoint = target();
    if (!endpoint)
    {
        co_return false;
    }
    error_code ec;
    timer_.expires_after(connect_timeout);
    timer_.async_wait(
        [self = shared_from_this()](error_code timer_ec)
        {
            if (!timer_ec)
            {
                self->socket_.close(timer_ec);
            }
        });
    co_await socket_.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    timer_.cancel();
    if (!ec)
    {
        enable_dead_peer_detection(socket_, peer_silence);
    }
    if (ec)
    {
        socket_.close(ec);
        co_return false;
    }
    watch_for_close();
    const auto first = greeting();
    const bool sent = co_await write(first);
    retry_pause_ = sent ? duration{first_retry_pause} : retry_pause_;
    co_return sent;
}

asio::awaitable<void> peer_link::flush()
{
    const auto frames = take_frames();
    for (const auto& it : frames)
    {
        const bool sent = co_await write(it);
        if (!sent)
        {
            co_return;
        }
    }
}

asio::awaitable<bool> peer_link::write(const std::string& bytes)
{
    error_code ec;
    co_await asio::async_write(socket_, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        error_code ignored;
        socket_.close(ignored);
        co_return false;
    }
    context_->counters.bytes_sent += bytes.size();
    ++context_->counters.frames_sent;
    co_return true;
}

asio::awaitable<void> peer_link::pause(duration time)
{
    error_code ec;
    timer_.expires_after(time);
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void peer_link::watch_for_close()
{
    // The peer sends nothing here: a read ends when the connection does.
    socket_.async_read_some(asio::buffer(unread_),
                            [self = shared_from_this()](error_code ec, std::size_t)
                            {
                                if (ec != asio::error::operation_aborted)
                                {
                                    self->socket_.close(ec);
                                }
                            });
}

std::string peer_link::greeting() const
{
    const auto& own = context_->options;
    hello it{own.name, own.address, to_, {}};
    it.proof = make_key_proof(own.cluster_key, own.id, own.epoch, it);
    const auto bytes = encode_frame(frame{own.id, own.epoch, std::move(it), {}}, clock::now());
    return bytes.ok() ? *bytes : std::string{};
}

std::vector<std::string> peer_link::take_frames()
{
    std::deque<queued> taken;
    std::optional<settings_content> settings;
    {
        const std::lock_guard lock{mutex_};
        if (renewal_wanted_)
        {
            return {}; // What is queued goes over the next connection.
        }
        taken.swap(queue_);
        settings.swap(settings_);
        queue_bytes_ = 0;
    }
    const auto oldest = clock::now() - max_message_age;
    std::vector<message> batch;
    for (auto& it : taken)
    {
        if (it.since >= oldest)
        {
            batch.push_back(std::move(it.body));
        }
    }
    drop(taken.size() - batch.size());
    std::vector<std::string> frames;
    if (context_->is_blocked(to_))
    {
        return frames;
    }
    encode(std::move(batch), frames);
    if (settings)
    {
        encode({std::move(*settings)}, frames);
    }
    return frames;
}

void peer_link::encode(std::vector<message> batch, std::vector<std::string>& out)
{
    if (batch.empty())
    {
        return;
    }
    const auto& own = context_->options;
    const frame whole{own.id, own.epoch, std::nullopt, std::move(batch)};
    auto bytes = encode_frame(whole, clock::now());
    if (bytes.ok())
    {
        out.push_back(std::move(*bytes));
        return;
    }
    const auto n = whole.messages.size();
    if (n == 1)
    {
        drop(1);
        return;
    }
    const auto middle = whole.messages.begin() + static_cast<std::ptrdiff_t>(n / 2);
    encode({whole.messages.begin(), middle}, out);
    encode({middle, whole.messages.end()}, out);
}

bool peer_link::stop_when_empty()
{
    const std::lock_guard lock{mutex_};
    if (closed_ || (queue_.empty() && !settings_))
    {
        running_ = false;
        return true;
    }
    return false;
}

std::optional<asio::ip::tcp::endpoint> peer_link::target()
{
    const std::lock_guard lock{mutex_};
    while (!queue_.empty() && clock::now() - queue_.front().since > max_message_age)
    {
        queue_bytes_ -= queue_.front().bytes;
        queue_.pop_front();
        drop(1);
    }
    return parse_address(address_);
}

void peer_link::drop(std::size_t count)
{
    context_->counters.messages_dropped += count;
}

} // namespace mangovane::internal

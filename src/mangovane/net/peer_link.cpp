// Queues messages to one peer and writes them in frames, reconnecting with backoff.
#include "mangovane/net/peer_link.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/hello_mac.hpp"
#include "mangovane/net/peek.hpp"
#include "mangovane/net/socket_options.hpp"
#include "mangovane/net/spawn.hpp"

namespace mangovane::internal
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;

namespace
{

/// Wait before each write, so that messages queued in the meantime share a frame.
constexpr milliseconds batch_delay{2};
constexpr std::size_t max_queue_bytes = 1024 * 1024;

/// A list of 3,000 endpoints takes about 0.6 MB.
constexpr std::size_t max_list_bytes = 4 * 1024 * 1024;
constexpr milliseconds min_reconnect_backoff{50};
constexpr milliseconds max_reconnect_backoff{1000};
constexpr milliseconds connect_timeout{500};

/// A peer that acknowledges no data for this long is unreachable or has lost power.
constexpr milliseconds dead_peer_timeout{2000};

constexpr milliseconds min_reconnect_interval{1000};

/// Older messages are dropped: their senders no longer wait for a response.
constexpr milliseconds max_message_age{2000};

/// Approximate encoded size of a message without lists.
constexpr std::size_t base_message_bytes = 96;

/// Size of the lists of a message. A list that is not counted here escapes the queue's limit.
struct list_bytes
{
    std::size_t operator()(const slot_renewal& it) const
    {
        return it.slots.size() * sizeof(held_slot);
    }
    std::size_t operator()(const probe&) const
    {
        return base_message_bytes * max_updates_per_probe;
    }
    std::size_t operator()(const probe_ack&) const
    {
        return base_message_bytes * max_updates_per_probe;
    }
    std::size_t operator()(const load_digest& it) const
    {
        return it.endpoints.size() * sizeof(endpoint_digest);
    }
    std::size_t operator()(const endpoint_update& it) const
    {
        std::size_t result = 0;
        for (const auto& row : it.rows)
        {
            result += sizeof(row) + row.name.size() + row.domain_name.size() + row.address.size() +
                      row.version.size();
        }
        return result;
    }
    std::size_t operator()(const quarantine_update& it) const
    {
        return it.crashes.size() * sizeof(crash_evidence) + it.answers.size() * sizeof(part_answer);
    }
    template <class Message>
    std::size_t operator()(const Message&) const
    {
        return 0;
    }
};

std::size_t estimated_size(const message& msg)
{
    return base_message_bytes + std::visit(list_bytes{}, msg);
}

} // namespace

peer_link::peer_link(asio::io_context& io, std::shared_ptr<peer_context> context, instance_id to)
    : strand_{asio::make_strand(io)}, context_{std::move(context)}, peer_{to}, socket_{strand_},
      connect_deadline_{strand_}, timer_{strand_}, reconnect_backoff_{min_reconnect_backoff}
{}

void peer_link::push(message msg)
{
    const auto bytes = estimated_size(msg);
    {
        const std::lock_guard lock{mutex_};
        if (auto* it = std::get_if<settings_content>(&msg); it != nullptr && !closed_)
        {
            settings_ = std::move(*it);
        }
        else
        {
            enqueue(std::move(msg), bytes);
        }
    }
    start_sending();
}

void peer_link::push(shared_frame encoded)
{
    const auto bytes = encoded->size();
    {
        const std::lock_guard lock{mutex_};
        enqueue(std::move(encoded), bytes);
    }
    start_sending();
}

void peer_link::push_list(shared_frame encoded, bool starts_full_list)
{
    const auto bytes = encoded->size();
    {
        const std::lock_guard lock{mutex_};
        if (closed_)
        {
            return;
        }
        if (starts_full_list || list_bytes_ + bytes > max_list_bytes)
        {
            drop_lists();
        }
        lists_.push_back({std::move(encoded), bytes, clock::now()});
        list_bytes_ += bytes;
    }
    start_sending();
}

void peer_link::enqueue(std::variant<message, shared_frame> content, std::size_t bytes)
{
    if (closed_)
    {
        return;
    }
    queue_.push_back({std::move(content), bytes, clock::now()});
    queue_bytes_ += bytes;
    while (queue_bytes_ > max_queue_bytes && queue_.size() > 1)
    {
        queue_bytes_ -= queue_.front().bytes;
        queue_.pop_front();
        count_dropped(1);
    }
}

void peer_link::drop_lists()
{
    count_dropped(lists_.size());
    lists_.clear();
    list_bytes_ = 0;
}

void peer_link::start_sending()
{
    {
        const std::lock_guard lock{mutex_};
        if (closed_ || std::exchange(sending_, true))
        {
            return;
        }
    }
    spawn(strand_, "peer_link", run(shared_from_this()),
          [self = shared_from_this()](bool failed)
          {
              if (failed)
              {
                  self->on_run_failed();
              }
          });
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
    if (now >= reconnect_requested_at_ + min_reconnect_interval)
    {
        reconnect_requested_at_ = now;
        reconnect_requested_ = true;
    }
}

void peer_link::reconnect_if_requested()
{
    const std::lock_guard lock{mutex_};
    if (std::exchange(reconnect_requested_, false))
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
        lists_.clear();
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
    while (!self->stop_if_idle())
    {
        co_await self->sleep_for(batch_delay);
        self->reconnect_if_requested();
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
            co_await self->sleep_for(self->reconnect_backoff_);
            self->reconnect_backoff_ =
                std::min<duration>(self->reconnect_backoff_ * 2, max_reconnect_backoff);
        }
    }
}

asio::awaitable<bool> peer_link::connect()
{
    const auto endpoint = peer_endpoint();
    if (!endpoint)
    {
        co_return false;
    }
    error_code ec;
    connect_deadline_.start(
        clock::now() + connect_timeout,
        [self = shared_from_this()] { return is_writable(self->socket_); },
        [self = shared_from_this()]
        {
            error_code ignored;
            self->socket_.close(ignored);
        });
    co_await socket_.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    connect_deadline_.stop();
    if (!ec)
    {
        enable_dead_peer_detection(socket_, dead_peer_timeout);
    }
    if (ec)
    {
        socket_.close(ec);
        co_return false;
    }
    watch_for_close();
    const auto first = hello_frame();
    const bool sent = co_await write(first);
    reconnect_backoff_ = sent ? duration{min_reconnect_backoff} : reconnect_backoff_;
    co_return sent;
}

asio::awaitable<void> peer_link::flush()
{
    auto frames = take_frames();
    while (!frames.empty())
    {
        // Holds one frame at a time, so that a slow peer keeps no more than it has to.
        const auto next = std::move(frames.front());
        frames.pop_front();
        const bool sent = co_await write(*next);
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

asio::awaitable<void> peer_link::sleep_for(duration time)
{
    error_code ec;
    timer_.expires_after(time);
    co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

void peer_link::watch_for_close()
{
    // The peer sends no data on this connection, so a read completes only when it closes.
    socket_.async_read_some(asio::buffer(close_probe_),
                            [self = shared_from_this()](error_code ec, std::size_t)
                            {
                                if (ec != asio::error::operation_aborted)
                                {
                                    self->socket_.close(ec);
                                }
                            });
}

std::string peer_link::hello_frame() const
{
    const auto& own = context_->options;
    hello it{own.name, own.address, peer_, {}};
    it.proof = make_hello_mac(own.cluster_key, own.id, own.epoch, it);
    const auto bytes = encode_frame(frame{own.id, own.epoch, std::move(it), {}}, clock::now());
    return bytes.ok() ? *bytes : std::string{};
}

peer_link::taken_messages peer_link::take_queues()
{
    taken_messages result;
    const std::lock_guard lock{mutex_};
    if (reconnect_requested_)
    {
        return result; // Queued messages are sent on the next connection.
    }
    result.lists.swap(lists_);
    result.messages.swap(queue_);
    result.settings.swap(settings_);
    list_bytes_ = 0;
    queue_bytes_ = 0;
    return result;
}

std::deque<shared_frame> peer_link::take_frames()
{
    auto taken = take_queues();
    std::deque<shared_frame> frames;
    if (context_->is_blocked(peer_))
    {
        return frames;
    }
    encode(std::move(taken.lists), frames);
    encode(std::move(taken.messages), frames);
    if (taken.settings)
    {
        std::vector<message> batch;
        batch.emplace_back(std::move(*taken.settings));
        encode_batch(std::move(batch), frames);
    }
    return frames;
}

void peer_link::encode(std::deque<queued_message> messages, std::deque<shared_frame>& out)
{
    const auto oldest = clock::now() - max_message_age;
    std::vector<message> batch;
    for (auto& it : messages)
    {
        if (it.queued_at < oldest)
        {
            count_dropped(1);
        }
        else if (auto* msg = std::get_if<message>(&it.content))
        {
            batch.push_back(std::move(*msg));
        }
        else
        {
            encode_batch(std::exchange(batch, {}), out);
            out.push_back(std::get<shared_frame>(std::move(it.content)));
        }
    }
    encode_batch(std::move(batch), out);
}

void peer_link::encode_batch(std::vector<message> batch, std::deque<shared_frame>& out)
{
    if (batch.empty())
    {
        return;
    }
    const auto& own = context_->options;
    const frame combined{own.id, own.epoch, std::nullopt, std::move(batch)};
    auto bytes = encode_frame(combined, clock::now());
    if (bytes.ok())
    {
        out.push_back(std::make_shared<const std::string>(std::move(*bytes)));
        return;
    }
    const auto n = combined.messages.size();
    if (n == 1)
    {
        count_dropped(1);
        return;
    }
    const auto middle = combined.messages.begin() + static_cast<std::ptrdiff_t>(n / 2);
    encode_batch({combined.messages.begin(), middle}, out);
    encode_batch({middle, combined.messages.end()}, out);
}

void peer_link::on_run_failed()
{
    error_code ec;
    socket_.close(ec);
    const std::lock_guard lock{mutex_};
    sending_ = false;
}

bool peer_link::stop_if_idle()
{
    const std::lock_guard lock{mutex_};
    if (closed_ || (queue_.empty() && lists_.empty() && !settings_))
    {
        sending_ = false;
        return true;
    }
    return false;
}

std::optional<asio::ip::tcp::endpoint> peer_link::peer_endpoint()
{
    const std::lock_guard lock{mutex_};
    if (!lists_.empty() && clock::now() - lists_.front().queued_at > max_message_age)
    {
        drop_lists(); // The following parts are of no use without the first one.
    }
    while (!queue_.empty() && clock::now() - queue_.front().queued_at > max_message_age)
    {
        queue_bytes_ -= queue_.front().bytes;
        queue_.pop_front();
        count_dropped(1);
    }
    return parse_address(address_);
}

void peer_link::count_dropped(std::size_t count)
{
    context_->counters.messages_dropped += count;
}

} // namespace mangovane::internal

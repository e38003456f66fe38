// Outgoing connection to one peer, with a bounded queue of messages.
#ifndef MANGOVANE_NET_PEER_LINK_HPP
#define MANGOVANE_NET_PEER_LINK_HPP

#include <array>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/peer_context.hpp"
#include "mangovane/net/shared_frame.hpp"
#include "mangovane/net/socket_deadline.hpp"
#include "mangovane/wire/codec.hpp"

namespace mangovane::internal
{

/// Sends only: messages from the peer arrive on the connection that the peer opens. I/O runs on the
/// link's strand; the queue has a lock of its own. Public functions are thread-safe.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    /// Connects to `to` once it has an address and messages to send. `io` outlives the link.
    peer_link(boost::asio::io_context& io, std::shared_ptr<peer_context> context, instance_id to);

    /// Queues a message. Above 1 MiB of queued messages the oldest are dropped. Of
    /// `settings_content` only the newest is kept.
    void push(message msg);

    /// Queues an encoded frame, for which the same limit applies.
    void push(shared_frame encoded);

    /// Queues a part of an endpoint list. Parts are sent before other messages. The first part of a
    /// full list replaces all queued parts. Above 4 MiB all queued parts are dropped, and the
    /// others of the same update are refused by the peer, which then requests the newest list.
    void push_list(shared_frame encoded, bool starts_full_list);

    /// Sets the `ip:port` to connect to. A changed address closes the current connection.
    void set_address(const std::string& address);

    /// Sends messages pushed from now on over a new connection. Limited to one per second,
    /// because a peer that is only slow would take longer with every new connection.
    void request_reconnect();

    /// Closes the connection and drops the queue.
    void close();

private:
    struct queued_message
    {
        std::variant<message, shared_frame> content;
        std::size_t bytes; ///< Encoded size, estimated for a message.
        time_point queued_at;
    };

    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    /// Messages and settings taken from the queues.
    struct taken_messages
    {
        std::deque<queued_message> lists;
        std::deque<queued_message> messages;
        std::optional<settings_content> settings;
    };

    /// Appends to the queue, and drops the oldest above its limit. `mutex_` is held.
    void enqueue(std::variant<message, shared_frame> content, std::size_t bytes);
    /// `mutex_` is held.
    void drop_lists();
    /// Starts `run` unless it runs.
    void start_sending();

    static boost::asio::awaitable<void> run(std::shared_ptr<peer_link> self);
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> flush();
    boost::asio::awaitable<bool> write(const std::string& bytes);
    boost::asio::awaitable<void> sleep_for(duration time);
    /// Closes the socket once the peer has closed the connection.
    void watch_for_close();
    void reconnect_if_requested();
    [[nodiscard]] std::string hello_frame() const;
    /// Encodes and removes the queued messages.
    [[nodiscard]] std::deque<shared_frame> take_frames();
    [[nodiscard]] taken_messages take_queues();
    /// Appends the messages that are not too old.
    void encode(std::deque<queued_message> messages, std::deque<shared_frame>& out);
    /// Appends the messages as one frame, or as several if one would be too large.
    void encode_batch(std::vector<message> batch, std::deque<shared_frame>& out);
    /// Lets the next message start `run` again after an exception has ended it.
    void on_run_failed();
    [[nodiscard]] bool stop_if_idle();
    [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> peer_endpoint();
    void count_dropped(std::size_t count);

    strand strand_;
    std::shared_ptr<peer_context> context_;
    instance_id peer_;
    boost::asio::ip::tcp::socket socket_; ///< Used on the strand.
    socket_deadline connect_deadline_;    ///< Used on the strand.
    boost::asio::steady_timer timer_;     ///< Used on the strand.
    duration reconnect_backoff_;          ///< Used on the strand.
    std::array<char, 1> close_probe_{};   ///< Used on the strand.
    std::mutex mutex_;
    std::deque<queued_message> queue_;         ///< Guarded by `mutex_`.
    std::size_t queue_bytes_{0};               ///< Guarded by `mutex_`.
    std::deque<queued_message> lists_;         ///< Parts of endpoint lists. Guarded by `mutex_`.
    std::size_t list_bytes_{0};                ///< Guarded by `mutex_`.
    std::optional<settings_content> settings_; ///< Newest settings to send. Guarded by `mutex_`.
    std::string address_;                      ///< Guarded by `mutex_`.
    time_point reconnect_requested_at_{};      ///< Guarded by `mutex_`.
    bool reconnect_requested_{false};          ///< Guarded by `mutex_`.
    bool sending_{false};                      ///< Guarded by `mutex_`.
    bool closed_{false};                       ///< Guarded by `mutex_`.
};

} // namespace mangovane::internal

#endif

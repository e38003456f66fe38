// Outgoing connection to one peer, with a bounded queue of messages.
#ifndef MANGOVANE_NET_PEER_LINK_HPP
#define MANGOVANE_NET_PEER_LINK_HPP

#include <array>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/peer_context.hpp"
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
        message body;
        std::size_t bytes; ///< Estimated encoded size.
        time_point queued_at;
    };

    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

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
    [[nodiscard]] std::vector<std::string> take_frames();
    /// Appends the messages as one frame, or as several if one would be too large.
    void encode(std::vector<message> batch, std::vector<std::string>& out);
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
    std::optional<settings_content> settings_; ///< Newest settings to send. Guarded by `mutex_`.
    std::string address_;                      ///< Guarded by `mutex_`.
    time_point reconnect_requested_at_{};      ///< Guarded by `mutex_`.
    bool reconnect_requested_{false};          ///< Guarded by `mutex_`.
    bool sending_{false};                      ///< Guarded by `mutex_`.
    bool closed_{false};                       ///< Guarded by `mutex_`.
};

} // namespace mangovane::internal

#endif

// The outgoing connection to one peer, with its bounded queue.
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
#include "mangovane/wire/codec.hpp"

namespace mangovane::internal
{

/// Writes only; the peer's messages come on the connection that the peer opens. All I/O runs on the
/// link's strand, the queue is under its own lock.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    peer_link(boost::asio::io_context& io, std::shared_ptr<peer_context> context, instance_id to);

    /// Queues a message; the oldest are dropped beyond 1 MB.
    void push(message msg);

    void set_address(const std::string& address);

    /// What is pushed from now on goes over a new connection. At most once in `renewal_pause`,
    /// since a peer that is only slow would need more time for each.
    void request_reconnect();

    /// Closes the connection and drops the queue.
    void close();

private:
    struct queued
    {
        message body;
        std::size_t bytes;
        time_point since;
    };

    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    static boost::asio::awaitable<void> run(std::shared_ptr<peer_link> self);
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> flush();
    boost::asio::awaitable<bool> write(const std::string& bytes);
    boost::asio::awaitable<void> pause(duration time);
    void watch_for_close();
    void renew_if_wanted();
    [[nodiscard]] std::string greeting() const;
    [[nodiscard]] std::vector<std::string> take_frames();
    void encode(std::vector<message> batch, std::vector<std::string>& out);
    [[nodiscard]] bool stop_when_empty();
    [[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> target();
    void drop(std::size_t count);

    strand strand_;
    std::shared_ptr<peer_context> context_;
    instance_id to_;
    boost::asio::ip::tcp::socket socket_; ///< Used on the strand.
    boost::asio::steady_timer timer_;     ///< Used on the strand.
    duration retry_pause_;                ///< Used on the strand.
    std::array<char, 1> unread_{};        ///< Used on the strand.
    std::mutex mutex_;
    std::deque<queued> queue_;                 ///< Guarded by `mutex_`.
    std::size_t queue_bytes_{0};               ///< Guarded by `mutex_`.
    std::optional<settings_content> settings_; ///< Newest to be sent. Guarded by `mutex_`.
    std::string address_;                      ///< Guarded by `mutex_`.
    time_point renewed_at_{};                  ///< Guarded by `mutex_`.
    bool renewal_wanted_{false};               ///< Guarded by `mutex_`.
    bool running_{false};                      ///< Guarded by `mutex_`.
    bool closed_{false};                       ///< Guarded by `mutex_`.
};

} // namespace mangovane::internal

#endif

// Socket whose operations end at a deadline, unless what they wait for has arrived.
#ifndef MANGOVANE_NET_TIMED_SOCKET_HPP
#define MANGOVANE_NET_TIMED_SOCKET_HPP

#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/net/socket_deadline.hpp"

namespace mangovane
{

/// All functions are called on the executor, which must be a strand.
class timed_socket : public std::enable_shared_from_this<timed_socket>
{
public:
    using tcp_socket = boost::asio::ip::tcp::socket;

    /// Whether the operation that the deadline limits can go on: `is_writable` or `is_readable`.
    using arrival_check = bool (*)(tcp_socket&);

    explicit timed_socket(const boost::asio::any_io_executor& executor)
        : socket_{executor}, deadline_{executor}
    {}

    [[nodiscard]] tcp_socket& socket() noexcept { return socket_; }

    /// Sets the deadline of the operations that follow. When it has passed, the pending operation
    /// is cancelled, and the socket is closed a short time later unless `stop` is called.
    void expire_at(time_point at, arrival_check has_arrived);

    /// Removes the deadline.
    void stop();

    /// Whether the deadline set last has passed.
    [[nodiscard]] bool expired() const noexcept { return expired_; }

    /// Removes the deadline and closes the socket, which ends pending operations.
    void close();

private:
    void on_expired();

    tcp_socket socket_;
    socket_deadline deadline_;
    bool expired_{false};
};

} // namespace mangovane

#endif

// Closes a connection without losing the end of what was written to it.
#ifndef MANGOVANE_NET_GRACEFUL_CLOSE_HPP
#define MANGOVANE_NET_GRACEFUL_CLOSE_HPP

#include <cstddef>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/net/socket_deadline.hpp"

namespace mangovane
{

/// Most bytes of the peer that are read and dropped before the connection is closed all the same.
inline constexpr std::size_t max_dropped_bytes = std::size_t{1024} * 1024;

/// A peer that receives nothing for this long although bytes wait for it is given up.
inline constexpr milliseconds receipt_stall_timeout{5000};

/// Ends the sending side, then reads and drops what the peer still sends until it closes its side,
/// or until `give_up_at`; with `awaits_receipt`, not before the peer has received everything that
/// was written, as long as it still receives some of it. Closing a socket with unread bytes, or one
/// whose peer sends more later, makes the kernel reset the connection, and the peer could lose the
/// end of a response. `owner` keeps the socket and the deadline alive.
boost::asio::awaitable<void> graceful_close(boost::asio::ip::tcp::socket& socket,
                                            socket_deadline& deadline,
                                            time_point give_up_at,
                                            bool awaits_receipt,
                                            std::shared_ptr<void> owner);

/// Ends the sending side, then waits until the peer has received everything that was written, or
/// has closed the connection. What it sends meanwhile stays unread, so that the peer may send it
/// again. The caller of the function keeps the socket alive.
boost::asio::awaitable<void> await_receipt(boost::asio::ip::tcp::socket& socket);

} // namespace mangovane

#endif

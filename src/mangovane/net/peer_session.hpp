// Incoming connection from a peer.
#ifndef MANGOVANE_NET_PEER_SESSION_HPP
#define MANGOVANE_NET_PEER_SESSION_HPP

#include <array>
#include <memory>
#include <optional>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/net/peer_context.hpp"
#include "mangovane/net/socket_deadline.hpp"
#include "mangovane/wire/codec.hpp"

namespace mangovane::internal
{

/// Receives only: messages to the peer are sent by `peer_link`. Runs on the strand of its socket.
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    /// The socket's executor must be a strand.
    peer_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<peer_context> context);

    /// Takes a place among the connections that are not authenticated. False: there is none, and
    /// the connection has to be closed.
    [[nodiscard]] bool open();

    /// Reads frames until the connection ends or a frame is rejected.
    static boost::asio::awaitable<void> run(std::shared_ptr<peer_session> self);

    /// Closes the connection. Thread-safe.
    void close();

private:
    boost::asio::awaitable<bool> read_frame(std::size_t max_bytes);
    /// Closes the connection if no hello has arrived in time.
    void start_hello_deadline();
    [[nodiscard]] absl::Status accept_hello();
    [[nodiscard]] absl::Status accept_messages();
    void reject(const absl::Status& status);

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<peer_context> context_;
    std::optional<connection_place> place_; ///< Until the peer is authenticated.
    socket_deadline hello_deadline_;
    std::array<std::uint8_t, frame_prefix_bytes> length_prefix_{};
    std::vector<char> body_;
    instance_id peer_; ///< Empty until the peer is authenticated.
    incarnation epoch_{0};
};

} // namespace mangovane::internal

#endif

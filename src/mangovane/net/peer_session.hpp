// An incoming connection of a peer.
#ifndef MANGOVANE_NET_PEER_SESSION_HPP
#define MANGOVANE_NET_PEER_SESSION_HPP

#include <array>
#include <memory>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/net/peer_context.hpp"
#include "mangovane/wire/codec.hpp"

namespace mangovane::internal
{

/// Reads only. Everything runs on the strand of its socket.
class peer_session : public std::enable_shared_from_this<peer_session>
{
public:
    peer_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<peer_context> context);

    static boost::asio::awaitable<void> run(std::shared_ptr<peer_session> self);

    /// Ends the connection; may be called from any thread.
    void close();

private:
    boost::asio::awaitable<bool> read_frame(std::size_t max_bytes);
    [[nodiscard]] absl::Status accept_greeting();
    [[nodiscard]] absl::Status accept_messages();
    void refuse(const absl::Status& status);

    boost::asio::ip::tcp::socket socket_;
    std::shared_ptr<peer_context> context_;
    std::array<std::uint8_t, frame_prefix_bytes> prefix_{};
    std::vector<char> body_;
    instance_id from_; ///< Empty until the key is proved.
    incarnation epoch_{0};
};

} // namespace mangovane::internal

#endif

// Exchange of messages between instances over TCP.
#ifndef MANGOVANE_NET_PEER_NETWORK_HPP
#define MANGOVANE_NET_PEER_NETWORK_HPP

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <absl/container/flat_hash_set.h>
#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/membership/view.hpp"
#include "mangovane/net/peer_context.hpp"
#include "mangovane/net/shared_frame.hpp"
#include "mangovane/routing/message_sink.hpp"

namespace mangovane
{

namespace internal
{
class peer_link;
class peer_session;
} // namespace internal

/// Sends messages to peers over one outgoing connection each and receives theirs over the
/// connections that they open. Must be destroyed only after its `io_context` has stopped.
class peer_network final : public message_sink
{
public:
    /// The handler runs on the threads of `io`, concurrently for different peers.
    peer_network(boost::asio::io_context& io,
                 peer_network_options options,
                 peer_message_handler handler);
    ~peer_network() override;
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;

    /// Listens on `ip:port`; port 0 selects a free port. Call before the first `send`.
    [[nodiscard]] absl::Status listen(const std::string& address);

    /// Port that `listen` has bound; 0 before.
    [[nodiscard]] std::uint16_t port() const noexcept { return port_; }

    /// Queues a message. Messages to this instance itself are ignored. Thread-safe.
    void send(const outgoing_message& msg) override;

    /// Encodes the message once for all receivers. Parts of endpoint lists are dropped while those
    /// that wait on all links take 8 MiB; the receivers then request the newest list. Thread-safe.
    void send_to_group(const group_message& msg) override;

    /// Encoded size of the endpoint lists that have not been sent to all their receivers.
    [[nodiscard]] std::size_t list_bytes() const { return lists_.used_bytes(); }

    /// Sets the addresses of all members of a view.
    void set_peers(const membership_view& view);

    /// Sets the `ip:port` of a peer; an empty address changes nothing.
    void set_address(instance_id peer, const std::string& address);

    /// Test hook: drops messages to and from these instances, instead of those of the last call. No
    /// effect unless `test_hooks` is set.
    void block(absl::flat_hash_set<instance_id> peers);

    /// Totals of all connections since the start.
    [[nodiscard]] peer_traffic traffic() const;

    /// Closes all connections and accepts no new ones.
    void close();

private:
    void serve(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] std::shared_ptr<internal::peer_link> link_to(instance_id peer);
    /// Null when the message cannot be encoded or the limit on lists is reached.
    [[nodiscard]] internal::shared_frame encode_shared(const message& msg);

    boost::asio::io_context& io_;
    std::shared_ptr<internal::peer_context> context_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_{0};
    internal::shared_frame_pool lists_;
    sharded_map<instance_id, std::shared_ptr<internal::peer_link>> links_;
    std::mutex mutex_;
    absl::flat_hash_set<std::shared_ptr<internal::peer_session>>
        sessions_; ///< Guarded by `mutex_`.
};

} // namespace mangovane

#endif

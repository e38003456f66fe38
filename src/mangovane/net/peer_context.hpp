// State shared by the connections of a peer network.
#ifndef MANGOVANE_NET_PEER_CONTEXT_HPP
#define MANGOVANE_NET_PEER_CONTEXT_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

#include <absl/container/flat_hash_set.h>

#include "mangovane/message/message.hpp"
#include "mangovane/net/connection_limit.hpp"

namespace mangovane
{

/// Identity of this instance and options of its peer network.
struct peer_network_options
{
    instance_id id;
    incarnation epoch{0};
    std::string name;
    std::string address; ///< `ip:port` that peers connect to; empty: the listening address.
    std::string cluster_key;
    bool test_hooks{false}; ///< Enables `peer_network::block`.

    bool operator==(const peer_network_options&) const = default;
};

/// Totals since the start. Bytes include the length prefix of frames.
struct peer_traffic
{
    std::uint64_t bytes_sent{0};
    std::uint64_t bytes_received{0};
    std::uint64_t frames_sent{0};
    std::uint64_t frames_received{0};
    std::uint64_t messages_dropped{0}; ///< Too old, too many, no address known, or not encodable.
    std::uint64_t connections_refused{0}; ///< Wrong key, wrong receiver or malformed frame.

    auto operator<=>(const peer_traffic&) const = default;
};

/// Receives a message and the id of its sender.
using peer_message_handler = std::function<void(instance_id, const message&)>;

/// Accepted connections on which no valid hello has arrived; the oldest is closed for a further
/// one.
inline constexpr std::size_t max_unauthenticated_peers = 128;

namespace internal
{

struct peer_counters
{
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
    std::atomic<std::uint64_t> frames_sent{0};
    std::atomic<std::uint64_t> frames_received{0};
    std::atomic<std::uint64_t> messages_dropped{0};
    std::atomic<std::uint64_t> connections_refused{0};
};

struct peer_context
{
    peer_network_options options; ///< Does not change after `listen`.
    peer_message_handler handler;
    connection_limit unauthenticated{max_unauthenticated_peers}; ///< Accepted connections.
    peer_counters counters;
    /// Called with the address in the hello of an accepted connection.
    std::function<void(instance_id, const std::string&)> on_peer_address;
    std::mutex mutex;
    absl::flat_hash_set<instance_id> blocked; ///< Guarded by `mutex`.

    /// Whether messages to and from the instance are dropped (`peer_network::block`).
    [[nodiscard]] bool is_blocked(instance_id id)
    {
        if (!options.test_hooks)
        {
            return false;
        }
        const std::lock_guard lock{mutex};
        return blocked.contains(id);
    }
};

} // namespace internal

} // namespace mangovane

#endif

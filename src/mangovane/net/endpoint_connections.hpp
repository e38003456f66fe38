// Established connections of this instance to endpoints, and their states.
#ifndef MANGOVANE_NET_ENDPOINT_CONNECTIONS_HPP
#define MANGOVANE_NET_ENDPOINT_CONNECTIONS_HPP

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/net/end_evidence.hpp"

namespace mangovane
{

/// Thread-safe. Shards by the address of the endpoint, so that a socket is sampled under the same
/// lock under which it is removed before it is closed.
class endpoint_connections
{
public:
    /// Samples of all connections to `ip:port`, ordered by id.
    [[nodiscard]] std::vector<connection_sample> sample(const std::string& address);

private:
    friend class connection_registration;

    struct entry
    {
        std::uint64_t id;
        int socket; ///< Open while the entry exists.
    };

    [[nodiscard]] std::uint64_t add(const std::string& address, int socket);
    void remove(const std::string& address, std::uint64_t id);

    std::atomic<std::uint64_t> last_id_{0};
    sharded_map<std::string, std::vector<entry>> entries_;
};

/// Keeps a connection registered. Is destroyed before the socket is closed.
class connection_registration
{
public:
    connection_registration(std::shared_ptr<endpoint_connections> connections,
                            std::string address,
                            int socket);
    ~connection_registration();
    connection_registration(const connection_registration&) = delete;
    connection_registration& operator=(const connection_registration&) = delete;

private:
    const std::shared_ptr<endpoint_connections> connections_;
    const std::string address_;
    const std::uint64_t id_;
};

} // namespace mangovane

#endif

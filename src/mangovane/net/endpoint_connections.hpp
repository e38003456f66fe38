// Established connections of this instance to endpoints, and their states.
#ifndef MANGOVANE_NET_ENDPOINT_CONNECTIONS_HPP
#define MANGOVANE_NET_ENDPOINT_CONNECTIONS_HPP

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "mangovane/core/sharded_map.hpp"
#include "mangovane/core/time.hpp"
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

    /// Whether neither side has ended a connection.
    [[nodiscard]] bool is_established(const std::string& address, std::uint64_t id);

private:
    friend class connection_registration;

    void expect_liveness(const std::string& address, std::uint64_t id, time_point until);

    struct entry
    {
        std::uint64_t id;
        int socket;                ///< Open while the entry exists.
        bool idle;                 ///< See `connection_sample::idle`.
        std::uint64_t seen_beside; ///< See `connection_sample::seen_beside`.
        /// A liveness connection that is established until then leads to the same process.
        time_point same_process_until{};
    };

    [[nodiscard]] static connection_sample sample_of(const entry& it);

    /// A liveness connection has been established beside these.
    static void note_liveness(std::vector<entry>& entries, std::uint64_t id);

    [[nodiscard]] std::uint64_t add(const std::string& address, int socket, bool idle);
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
                            int socket,
                            bool idle = false);
    ~connection_registration();
    connection_registration(const connection_registration&) = delete;
    connection_registration& operator=(const connection_registration&) = delete;

    [[nodiscard]] std::uint64_t id() const noexcept { return id_; }

    /// The process has just sent bytes: a liveness connection that is established until then leads
    /// to it, even if the receive window of this connection is full by then.
    void expect_liveness(time_point until) { connections_->expect_liveness(address_, id_, until); }

private:
    const std::shared_ptr<endpoint_connections> connections_;
    const std::string address_;
    const std::uint64_t id_;
};

} // namespace mangovane

#endif

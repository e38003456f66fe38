// Follows the connection of a request to an endpoint and finds out what its end means.
#ifndef MANGOVANE_NET_WATCHED_CONNECTION_HPP
#define MANGOVANE_NET_WATCHED_CONNECTION_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/crash_check.hpp"
#include "mangovane/net/end_verdict.hpp"
#include "mangovane/net/endpoint_connections.hpp"
#include "mangovane/net/liveness_connection.hpp"

namespace mangovane
{

/// The connection of one request to an endpoint, as far as its end matters. All functions are
/// called on the strand of the connection.
class watched_connection
{
public:
    watched_connection(std::shared_ptr<endpoint_connections> connections,
                       std::shared_ptr<liveness_connections> liveness);

    /// The connection to `ip:port` is established. The socket stays open until `stop`.
    void start(std::string address, int socket);

    /// A part of a response that ends with the connection has been read into a buffer. Keeps a
    /// liveness connection from the first part after which the end has not come.
    void on_part(std::size_t bytes, std::size_t buffer_bytes, boost::asio::ip::tcp::socket& socket);

    /// Keeps the state of the connection for `check`; called before the socket is closed.
    void keep_state();

    /// The socket is about to be closed.
    void stop();

    /// What the end of the connection means. `serves_until` is the time until which an endpoint
    /// that is known to leave goes on serving; empty: it does not leave. Other connections are not
    /// waited for past `give_up_at`; an endpoint that refuses then counts as ended.
    boost::asio::awaitable<end_verdict> check(const crash_check_timing& timing,
                                              std::optional<time_point> serves_until,
                                              time_point give_up_at);

    /// When the connection ended, as far as `check` has seen.
    [[nodiscard]] time_point ended_at() const noexcept { return ended_at_; }

private:
    struct samples
    {
        connection_sample own;
        std::vector<connection_sample> others;
    };

    void note_part(std::size_t bytes, std::size_t buffer_bytes, time_point now);
    void keep_liveness(const boost::asio::any_io_executor& executor);

    /// All connections to the address, with this one apart.
    [[nodiscard]] samples sample() const;

    /// Waits until one of the candidates shows the process, or all have ended.
    boost::asio::awaitable<void> await_proof(end_observation& seen,
                                             const crash_check_timing& timing,
                                             std::vector<connection_sample> candidates,
                                             time_point give_up_at) const;

    /// See `response_end`.
    [[nodiscard]] milliseconds max_gap() const;
    [[nodiscard]] bool held_back() const;

    const std::shared_ptr<endpoint_connections> connections_;
    const std::shared_ptr<liveness_connections> liveness_;
    std::string address_;
    std::uint64_t id_{0};
    std::optional<connection_registration> registration_; ///< While the socket is open.
    std::shared_ptr<liveness_connection> kept_;           ///< Null: not needed.
    connection_sample last_state_;                        ///< At `last_state_at_`.
    time_point last_state_at_{};
    time_point first_part_at_{};
    time_point last_part_at_{};
    time_point ended_at_{};
    std::uint64_t parts_{0};
    time_point burst_began_at_{};
    std::size_t burst_bytes_{0}; ///< Read since the socket was last found empty.
    bool drained_{true};         ///< The last part has emptied the socket.
};

} // namespace mangovane

#endif

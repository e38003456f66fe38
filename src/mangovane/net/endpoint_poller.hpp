// Polls endpoints for their load, one short HTTP request per poll.
#ifndef MANGOVANE_NET_ENDPOINT_POLLER_HPP
#define MANGOVANE_NET_ENDPOINT_POLLER_HPP

#include <atomic>
#include <cstdint>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "mangovane/routing/coordinator.hpp"

namespace mangovane
{

/// Interval between two polls of an endpoint.
inline constexpr milliseconds load_poll_period{500};

/// Reports loads, and whether endpoints respond, to the coordinator.
class endpoint_poller
{
public:
    /// Both references outlive the poller.
    endpoint_poller(boost::asio::io_context& io, coordinator& core);

    /// Starts polling the endpoints that the coordinator names.
    void start();

    /// Starts no more polls. Thread-safe.
    void stop();

    /// Total bytes of requests and responses, without TCP and IP headers.
    [[nodiscard]] std::uint64_t bytes_transferred() const noexcept { return bytes_; }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> poll(endpoint_info endpoint);

    boost::asio::io_context& io_;
    coordinator& core_;
    boost::asio::steady_timer timer_;
    std::atomic<bool> stopped_{false};
    std::atomic<std::uint64_t> bytes_{0};
};

} // namespace mangovane

#endif

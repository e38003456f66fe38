// Pool of keep-alive HTTP/1.1 connections to one address. All state is confined to one strand.
#ifndef MANGOVANE_STORE_HTTP_POOL_HPP
#define MANGOVANE_STORE_HTTP_POOL_HPP

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/timed_socket.hpp"

namespace mangovane
{

/// A complete response.
struct http_response
{
    unsigned status{0};
    std::string body;
    std::string field{}; ///< Value of the header field that the pool's owner asked for.

    auto operator<=>(const http_response&) const = default;
};

/// Runs up to `max_connections` calls at once and queues up to `max_queued_calls` more, first in,
/// first out. A call keeps the pool alive.
class http_pool : public std::enable_shared_from_this<http_pool>
{
public:
    using request = boost::beast::http::request<boost::beast::http::string_body>;
    using handler = std::function<void(absl::StatusOr<http_response>)>;

    static constexpr std::size_t max_connections = 4;
    static constexpr std::size_t max_queued_calls = 1024; ///< Waiting for a connection.
    /// Shorter than the 15 s or more after which servers commonly close an idle connection.
    static constexpr seconds max_idle_time{10};
    static constexpr std::uint64_t max_body_bytes = 8ULL * 1024 * 1024; ///< Of a response.

    /// Responses keep the value of the header field `kept_field`; empty: of none.
    http_pool(boost::asio::io_context& io, std::string address, std::string kept_field = {});

    /// Sends the request on an idle or a new connection, when one is available. The handler is
    /// posted to the context.
    void send(request req, time_point deadline, handler done);

private:
    using connection = std::shared_ptr<timed_socket>;
    struct idle_connection
    {
        connection socket;
        time_point since;
    };

    boost::asio::awaitable<absl::StatusOr<http_response>> run(request req, time_point deadline);
    boost::asio::awaitable<absl::Status> acquire(time_point deadline);
    boost::asio::awaitable<absl::StatusOr<http_response>> exchange(request& req,
                                                                   time_point deadline);
    boost::asio::awaitable<absl::Status> connect(const connection& conn, time_point deadline);
    /// Sends the request on an open connection. Keeps the connection for further calls if the
    /// response permits it.
    boost::asio::awaitable<absl::StatusOr<http_response>>
    exchange_on(const connection& conn, request& req, time_point deadline);
    /// Returns the connection to the pool at the end of a call, also if an exception ends it.
    class connection_slot
    {
    public:
        explicit connection_slot(http_pool& pool) : pool_{pool} {}
        ~connection_slot() { pool_.release(); }
        connection_slot(const connection_slot&) = delete;
        connection_slot& operator=(const connection_slot&) = delete;

    private:
        http_pool& pool_;
    };

    /// An idle connection that can be used again; null if there is none.
    connection take_idle();
    void release();

    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    std::string address_;
    const std::string kept_field_;
    std::optional<boost::asio::ip::tcp::endpoint> endpoint_; ///< Empty if malformed.
    std::vector<idle_connection> idle_;
    std::size_t connections_in_use_{0};                   ///< At most `max_connections`.
    std::deque<boost::asio::steady_timer*> queued_calls_; ///< Cancelled when a connection is free.
};

} // namespace mangovane

#endif

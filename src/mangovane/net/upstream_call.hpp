// One HTTP request on a connection to an endpoint. The request is written while the response is
// read, because an endpoint may respond before it has read a long body.
#ifndef MANGOVANE_NET_UPSTREAM_CALL_HPP
#define MANGOVANE_NET_UPSTREAM_CALL_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "mangovane/net/final_head.hpp"
#include "mangovane/net/watched_connection.hpp"

namespace mangovane
{

/// All functions are called on the executor, which must be a strand. Has no timeouts: the owner
/// calls `close`, which makes pending operations fail.
class upstream_call : public std::enable_shared_from_this<upstream_call>
{
public:
    using error_code = boost::system::error_code;
    using head_type = boost::beast::http::response_header<>;

    upstream_call(const boost::asio::any_io_executor& executor,
                  std::shared_ptr<endpoint_connections> connections,
                  std::shared_ptr<liveness_connections> liveness)
        : socket_{executor}, watched_{std::move(connections), std::move(liveness)}
    {}

    /// Connects to `ip:port`. Returns false on failure; nothing has been sent in that case.
    boost::asio::awaitable<bool> connect(const std::string& address);

    /// What the end of the connection means, also after `close`.
    [[nodiscard]] watched_connection& watched() noexcept { return watched_; }

    /// Starts to write the request. The endpoint may run it from here on.
    void send(std::string head, std::shared_ptr<const std::string> body);

    /// Reads the head of the final response and skips informational ones, of which it accepts a
    /// limited number. With `head_only` the response has no body, whatever its head says.
    boost::asio::awaitable<error_code> read_head(bool head_only);

    [[nodiscard]] const head_type& head() const { return parser_->get().base(); }

    /// Reads a part of the body into the buffer and sets `count` to its size in bytes. A response
    /// that is delimited by the end of the connection is complete only after an orderly close.
    /// Fails on chunk headers and trailers that are longer than a head may be.
    boost::asio::awaitable<error_code> read_some(std::span<char> buf, std::size_t& count);

    /// Whether the response has been read completely.
    [[nodiscard]] bool done() const { return parser_->is_done(); }

    /// Whether only the end of the connection tells the end of the response.
    [[nodiscard]] bool ends_with_connection() const { return parser_->need_eof(); }

    /// Why the request could not be written. The write takes the error of a connection that was
    /// reset, and the read that follows sees an end in order.
    [[nodiscard]] const error_code& write_error() const noexcept { return write_error_; }

    /// Whether the whole request has been written.
    [[nodiscard]] bool written() const noexcept { return written_; }

    /// Length of the body in bytes; empty if the response does not state it.
    [[nodiscard]] std::optional<std::uint64_t> content_length() const
    {
        const auto length = parser_->content_length();
        return length ? std::optional<std::uint64_t>{*length} : std::nullopt;
    }

    /// Whether the connection is established, even if `connect` has not returned yet.
    [[nodiscard]] bool is_connected() const;

    /// Whether bytes of the response, or the end of the connection, have arrived and were not read.
    [[nodiscard]] bool has_arrived();

    /// Closes the connection and cancels pending operations.
    void close();

private:
    boost::asio::ip::tcp::socket socket_;
    watched_connection watched_;
    boost::beast::flat_buffer buffer_{max_response_section_bytes};
    std::optional<endpoint_response_parser> parser_;
    std::string request_head_;                        ///< Alive until written.
    std::shared_ptr<const std::string> request_body_; ///< Alive until written.
    error_code write_error_;                          ///< Of the request.
    bool written_{false};                             ///< The whole request.
    bool closed_{false};
};

} // namespace mangovane

#endif

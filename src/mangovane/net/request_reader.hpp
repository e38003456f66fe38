// Reads one request of a caller, for either front end.
#ifndef MANGOVANE_NET_REQUEST_READER_HPP
#define MANGOVANE_NET_REQUEST_READER_HPP

#include <cstddef>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "mangovane/net/caller_reader.hpp"
#include "mangovane/net/held_request.hpp"
#include "mangovane/settings/policy.hpp"

namespace mangovane
{

/// The fields of a head are parsed, looked at and freed without a suspension in between. The
/// functions are called in their order; the caller runs the deadline.
class request_reader
{
public:
    using error_code = boost::system::error_code;
    using request_head = held_head::request_head;

    /// `connection` and `request` outlive the reader.
    request_reader(caller_reader& connection, held_request& request, const http_limits& limits);

    /// Reads and parses the head. Errors: those of `caller_reader::read_head_bytes`, and those of
    /// the parser.
    boost::asio::awaitable<error_code> read_head();

    /// The parsed head; empty after `hold_head`.
    [[nodiscard]] const request_head& head() const { return parser_.get().base(); }

    /// Keeps the head as text and frees its fields. Error: `no_memory` if the budget for requests
    /// does not have the bytes.
    [[nodiscard]] error_code hold_head();

    /// Reads the body into the request. Trailers are not kept: they belong to the connection's
    /// framing. Errors: `no_memory`, and those of the parser and of the socket.
    boost::asio::awaitable<error_code> read_body();

    /// Whether a part of the request has arrived.
    [[nodiscard]] bool begun() const;

private:
    /// Parses what was read of the body, however many chunks that is: their number must not decide
    /// how often the session suspends.
    [[nodiscard]] error_code parse_body();
    /// Charges what the body takes so far.
    [[nodiscard]] error_code charge_body();
    /// How much to read next.
    [[nodiscard]] std::size_t next_read_bytes() const;

    caller_reader& connection_;
    held_request& request_;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
    const std::size_t header_bytes_; ///< Largest head.
    std::size_t charged_body_bytes_{0};
};

} // namespace mangovane

#endif

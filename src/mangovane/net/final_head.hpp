// Reads the head of an endpoint's final response within limits that do not depend on the endpoint.
#ifndef MANGOVANE_NET_FINAL_HEAD_HPP
#define MANGOVANE_NET_FINAL_HEAD_HPP

#include <cstdint>
#include <optional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

namespace mangovane
{

using endpoint_response_parser =
    boost::beast::http::response_parser<boost::beast::http::buffer_body>;

/// Limit in bytes on the read buffer for an endpoint's response, and so on a head, on a chunk
/// header with its extensions and on a trailer section.
inline constexpr std::uint32_t max_response_section_bytes = 64U * 1024;

/// Each informational response (1xx) is parsed as a head of its own; an endpoint that sends them
/// without end would use the processor until the deadline of the request.
inline constexpr unsigned max_informational_responses = 16;

/// Reads heads until one is not informational. With `head_only` the response has no body, whatever
/// its head says. Afterwards the parser holds the final response.
template <class Stream>
boost::asio::awaitable<boost::system::error_code>
read_final_head(Stream& stream,
                boost::beast::flat_buffer& buf,
                std::optional<endpoint_response_parser>& parser,
                bool head_only,
                std::uint32_t header_limit = max_response_section_bytes)
{
    namespace asio = boost::asio;
    namespace http = boost::beast::http;
    constexpr unsigned first_final_status = 200;
    for (unsigned n = 0; n <= max_informational_responses; ++n)
    {
        parser.emplace();
        parser->header_limit(header_limit);
        parser->body_limit(boost::none);
        parser->skip(head_only);
        boost::system::error_code ec;
        co_await http::async_read_header(stream, buf, *parser,
                                         asio::redirect_error(asio::use_awaitable, ec));
        if (ec || parser->get().result_int() >= first_final_status)
        {
            co_return ec;
        }
    }
    co_return http::make_error_code(http::error::header_limit);
}

} // namespace mangovane

#endif

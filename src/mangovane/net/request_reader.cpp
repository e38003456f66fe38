// Implementation of the reading of a request.
#include "mangovane/net/request_reader.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include "mangovane/net/caller_connection.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

/// Bytes of a body that are read at a time, if its length is not known, and at most.
constexpr std::size_t read_bytes = std::size_t{4} * 1024;
constexpr std::size_t max_read_bytes = std::size_t{16} * 1024;

} // namespace

request_reader::request_reader(caller_reader& connection,
                               held_request& request,
                               const http_limits& limits)
    : connection_{connection}, request_{request}, header_bytes_{limits.header_bytes}
{
    parser_.header_limit(limits.header_bytes);
    parser_.body_limit(limits.body_bytes);
    connection_.buffer().max_size(std::max(header_bytes_, min_read_buffer_bytes));
}

asio::awaitable<request_reader::error_code> request_reader::read_head()
{
    auto ec = co_await connection_.read_head_bytes(header_bytes_);
    if (!ec)
    {
        ec = connection_.parse_head(parser_);
    }
    co_return ec;
}

request_reader::error_code request_reader::hold_head()
{
    auto& head = parser_.get();
    request_.keep_alive = head.keep_alive();
    request_.expects_continue = beast::iequals(head[http::field::expect], "100-continue");
    request_.head = held_head{head.base()};
    head.base().clear();
    const bool charged = request_.reservation.try_grow(request_.head.bytes());
    return charged ? error_code{} : error_code{asio::error::no_memory};
}

asio::awaitable<request_reader::error_code> request_reader::read_body()
{
    parser_.eager(true);
    auto ec = parse_body();
    while (!ec && !parser_.is_done())
    {
        ec = co_await connection_.read_some(next_read_bytes());
        if (ec == asio::error::eof)
        {
            ec = http::make_error_code(http::error::partial_message);
        }
        ec = ec ? ec : parse_body();
    }
    if (!ec)
    {
        // A request that is held takes no read buffer.
        connection_.buffer().shrink_to_fit();
        request_.body = std::make_shared<const std::string>(std::move(parser_.get().body()));
    }
    co_return ec;
}

request_reader::error_code request_reader::parse_body()
{
    auto& buffer = connection_.buffer();
    error_code ec;
    while (!ec && !parser_.is_done() && buffer.size() != 0)
    {
        buffer.consume(parser_.put(buffer.data(), ec));
    }
    if (ec == http::error::need_more)
    {
        ec = {};
    }
    return ec ? ec : charge_body();
}

std::size_t request_reader::next_read_bytes() const
{
    const auto left = parser_.content_length_remaining().value_or(read_bytes);
    return static_cast<std::size_t>(std::clamp<std::uint64_t>(left, 1, max_read_bytes));
}

request_reader::error_code request_reader::charge_body()
{
    const auto& body = parser_.get().body();
    // Memory that was reserved for a stated length is used only as the body arrives.
    const auto taken = std::min(body.capacity(), 2 * body.size());
    if (taken <= charged_body_bytes_)
    {
        return {};
    }
    if (!request_.reservation.try_grow(taken - charged_body_bytes_))
    {
        return asio::error::no_memory;
    }
    charged_body_bytes_ = taken;
    return {};
}

bool request_reader::begun() const
{
    return parser_.got_some() || connection_.buffer().size() != 0;
}

} // namespace mangovane

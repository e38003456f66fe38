// Implementation of the reading of a request.
#include "mangovane/net/request_reader.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/read.hpp>

#include "mangovane/net/caller_connection.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

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
    error_code ec;
    while (!ec && !parser_.is_done())
    {
        co_await http::async_read_some(connection_.socket(), connection_.buffer(), parser_,
                                       asio::redirect_error(asio::use_awaitable, ec));
        ec = ec ? ec : charge_body();
    }
    if (!ec)
    {
        // A request that is held takes no read buffer.
        connection_.buffer().shrink_to_fit();
        request_.body = std::make_shared<const std::string>(std::move(parser_.get().body()));
    }
    co_return ec;
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

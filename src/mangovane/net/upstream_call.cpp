// Implementation of a call to an endpoint.
#include "mangovane/net/upstream_call.hpp"

#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "mangovane/net/address.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint32_t max_head_bytes = 64U * 1024;
constexpr unsigned first_final_status = 200; ///< Lower ones announce that another head follows.

} // namespace

asio::awaitable<bool> upstream_call::connect(const std::string& address)
{
    const auto endpoint = parse_address(address);
    if (!endpoint || closed_)
    {
        co_return false;
    }
    error_code ec;
    co_await socket_.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, ec));
    if (ec || closed_)
    {
        co_return false;
    }
    socket_.set_option(asio::ip::tcp::no_delay{true}, ec);
    co_return true;
}

void upstream_call::send(std::string head, std::shared_ptr<const std::string> body)
{
    head_out_ = std::move(head);
    body_out_ = std::move(body);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head_out_),
                                                    asio::buffer(*body_out_)};
    // A failed write shows in the reading of the answer, which may be complete all the same.
    asio::async_write(socket_, buffers, [self = shared_from_this()](error_code, std::size_t) {});
}

asio::awaitable<upstream_call::error_code> upstream_call::read_head(bool head_only)
{
    error_code ec;
    do
    {
        parser_.emplace();
        parser_->header_limit(max_head_bytes);
        parser_->body_limit(boost::none);
        parser_->skip(head_only);
        co_await http::async_read_header(socket_, buffer_, *parser_,
                                         asio::redirect_error(asio::use_awaitable, ec));
    } while (!ec && parser_->get().result_int() < first_final_status);
    co_return ec;
}

asio::awaitable<upstream_call::error_code> upstream_call::read_some(std::span<char> buf,
                                                                    std::size_t& count)
{
    auto& body = parser_->get().body();
    body.data = buf.data();
    body.size = buf.size();
    error_code ec;
    co_await http::async_read_some(socket_, buffer_, *parser_,
                                   asio::redirect_error(asio::use_awaitable, ec));
    count = buf.size() - body.size;
    co_return ec == http::error::need_buffer ? error_code{} : ec;
}

void upstream_call::close()
{
    closed_ = true;
    error_code ec;
    socket_.close(ec);
}

} // namespace mangovane

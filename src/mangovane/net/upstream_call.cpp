// Writes a request to an endpoint and reads the response.
#include "mangovane/net/upstream_call.hpp"

#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/peek.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

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
    watched_.start(address, socket_.native_handle());
    co_return true;
}

void upstream_call::send(std::string head, std::shared_ptr<const std::string> body)
{
    request_head_ = std::move(head);
    request_body_ = std::move(body);
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(request_head_),
                                                    asio::buffer(*request_body_)};
    // An error does not end the call: the response may be complete although the request was not
    // written completely.
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](error_code ec, std::size_t)
                      {
                          self->write_error_ = ec;
                          self->written_ = !ec;
                          self->request_head_ = {};
                          self->request_body_.reset();
                      });
}

asio::awaitable<upstream_call::error_code> upstream_call::read_head(bool head_only)
{
    const auto ec = co_await read_final_head(socket_, buffer_, parser_, head_only);
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
    if (count != 0 && ends_with_connection())
    {
        watched_.on_part(count, buf.size(), socket_);
    }
    co_return ec == http::error::need_buffer ? error_code{} : ec;
}

bool upstream_call::is_connected() const
{
    error_code ec;
    (void)socket_.remote_endpoint(ec);
    return !ec;
}

bool upstream_call::has_arrived()
{
    return is_readable(socket_);
}

void upstream_call::close()
{
    closed_ = true;
    watched_.stop();
    error_code ec;
    socket_.close(ec);
}

} // namespace mangovane

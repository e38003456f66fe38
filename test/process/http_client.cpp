// Implementation of the HTTP client.
#include "process/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "mangovane/net/address.hpp"

namespace mangovane::test
{

namespace
{

namespace beast = boost::beast;
namespace http = beast::http;

/// One request and its response as a chain of asynchronous operations.
class exchange
{
public:
    exchange(const std::string& address, const http_request& req) : address_{address}
    {
        request_.method(http::string_to_verb(req.method));
        request_.target(req.target);
        request_.set(http::field::host, address);
        request_.set(http::field::connection, "close");
        for (const auto& [name, value] : req.fields)
        {
            request_.set(name, value);
        }
        request_.body() = req.body;
        request_.prepare_payload();
        stream_.expires_after(req.timeout);
    }

    http_response run()
    {
        stream_.async_connect(*parse_address(address_),
                              [this](beast::error_code ec) { on_connect(ec); });
        io_.run();
        return response_;
    }

private:
    bool failed(beast::error_code ec)
    {
        response_.error = ec ? ec.message() : "";
        return static_cast<bool>(ec);
    }

    void on_connect(beast::error_code ec)
    {
        if (failed(ec))
        {
            return;
        }
        response_.connected = true;
        http::async_write(stream_, request_,
                          [this](beast::error_code error, std::size_t) { on_write(error); });
    }

    void on_write(beast::error_code ec)
    {
        if (failed(ec))
        {
            return;
        }
        http::async_read(stream_, buf_, reply_,
                         [this](beast::error_code error, std::size_t) { on_read(error); });
    }

    void on_read(beast::error_code ec)
    {
        if (!failed(ec))
        {
            response_.status = reply_.result_int();
            response_.body = reply_.body();
        }
    }

    std::string address_;
    boost::asio::io_context io_{1};
    beast::tcp_stream stream_{io_};
    beast::flat_buffer buf_;
    http::request<http::string_body> request_;
    http::response<http::string_body> reply_;
    http_response response_;
};

} // namespace

http_response send(const std::string& address, const http_request& req)
{
    return exchange{address, req}.run();
}

} // namespace mangovane::test

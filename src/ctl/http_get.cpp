// Implementation of GET requests.
#include "ctl/http_get.hpp"

#include <sstream>

#include <absl/strings/str_cat.h>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "mangovane/core/time.hpp"

namespace mangovane::ctl
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr seconds call_timeout{5};
constexpr std::uint64_t max_reply_bytes = 16ULL * 1024 * 1024;

/// One GET request on a new connection. Each completed step starts the next.
class get_request
{
public:
    get_request(const asio::ip::tcp::endpoint& endpoint,
                const std::string& target,
                const std::string& key)
        : request_{http::verb::get, target, 11}
    {
        std::ostringstream host;
        host << endpoint;
        request_.set(http::field::host, host.str());
        if (!key.empty())
        {
            request_.set(http::field::authorization, absl::StrCat("Bearer ", key));
        }
        request_.keep_alive(false);
        parser_.body_limit(max_reply_bytes);
    }

    /// Blocks until the response is read; returns the error of the step that failed.
    beast::error_code run(const asio::ip::tcp::endpoint& endpoint);

    [[nodiscard]] const http::response<http::string_body>& reply() const { return parser_.get(); }

private:
    template <class Next>
    auto step(Next next)
    {
        return [this, next](beast::error_code ec, auto&&...)
        {
            error_ = ec;
            if (!ec)
            {
                next();
            }
        };
    }

    void read()
    {
        http::async_read(stream_, buf_, parser_, step([] {}));
    }

    void write()
    {
        http::async_write(stream_, request_, step([this] { read(); }));
    }

    asio::io_context io_;
    beast::tcp_stream stream_{io_};
    beast::flat_buffer buf_;
    http::request<http::empty_body> request_;
    http::response_parser<http::string_body> parser_;
    beast::error_code error_;
};

beast::error_code get_request::run(const asio::ip::tcp::endpoint& endpoint)
{
    stream_.expires_after(call_timeout);
    stream_.async_connect(endpoint, step([this] { write(); }));
    io_.run();
    return error_;
}

} // namespace

absl::StatusOr<http_reply>
http_get(const asio::ip::tcp::endpoint& endpoint, const std::string& target, const std::string& key)
{
    get_request call{endpoint, target, key};
    if (const auto ec = call.run(endpoint))
    {
        return absl::UnavailableError(ec.message());
    }
    return call.reply();
}

} // namespace mangovane::ctl

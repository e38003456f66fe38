// HTTP server of the operator API.
#include "mangovane/net/operator_server.hpp"

#include <array>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/spawn.hpp"
#include "mangovane/net/status_json.hpp"
#include "mangovane/net/tcp_acceptor.hpp"
#include "mangovane/settings/digest.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr seconds read_timeout{30};
constexpr seconds write_timeout{10};
constexpr std::uint32_t max_header_bytes = 8U * 1024;
constexpr std::size_t max_read_buffer_bytes = std::size_t{16} * 1024;
constexpr std::uint64_t max_body_bytes = 1024;

using request_type = http::request<http::string_body>;
using reply_type = http::response<http::string_body>;

struct resource
{
    std::string_view target;
    const char* type;
    std::string (*text)(const operator_services&);
};

constexpr std::array resources{
    resource{"/operator/status", "application/json",
             [](const operator_services& it) { return to_json(it.status.status()); }},
    resource{"/operator/metrics", "text/plain; version=0.0.4",
             [](const operator_services& it) { return it.metrics_text(); }},
};

void fill_reply(const request_type& request, const operator_services& services, reply_type& reply)
{
    const auto header = request[http::field::authorization];
    if (!is_authorized({header.data(), header.size()}, services.key))
    {
        reply.result(http::status::unauthorized);
        return;
    }
    const std::string_view target{request.target().data(), request.target().size()};
    for (const auto& it : resources)
    {
        if (it.target != target)
        {
            continue;
        }
        if (request.method() != http::verb::get)
        {
            reply.result(http::status::method_not_allowed);
            reply.set(http::field::allow, "GET");
            return;
        }
        reply.set(http::field::content_type, it.type);
        reply.body() = it.text(services);
        return;
    }
    reply.result(http::status::not_found);
}

reply_type make_reply(const request_type& request, const operator_services& services)
{
    reply_type reply{http::status::ok, request.version()};
    fill_reply(request, services, reply);
    reply.keep_alive(request.keep_alive());
    reply.prepare_payload();
    return reply;
}

} // namespace

bool is_authorized(std::string_view header, std::string_view key)
{
    constexpr std::string_view prefix = "Bearer ";
    if (key.empty() || !header.starts_with(prefix))
    {
        return false;
    }
    // Comparing digests of equal length does not leak the length of the key or a matching prefix.
    const auto given_digest = sha256_hex(header.substr(prefix.size()));
    const auto expected_digest = sha256_hex(key);
    unsigned difference = 0;
    for (std::size_t n = 0; n != expected_digest.size(); ++n)
    {
        difference |= static_cast<unsigned char>(given_digest[n]) ^
                      static_cast<unsigned char>(expected_digest[n]);
    }
    return difference == 0;
}

operator_server::operator_server(asio::io_context& io, operator_services services)
    : io_{io}, services_{std::move(services)}, acceptor_{asio::make_strand(io)},
      connections_{std::make_shared<connection_limit>(max_operator_connections)}
{}

absl::Status operator_server::listen(const std::string& address)
{
    if (auto status = open_acceptor(acceptor_, address); !status.ok())
    {
        return status;
    }
    port_ = acceptor_.local_endpoint().port();
    const auto on_socket = [this](asio::ip::tcp::socket it) { start_session(std::move(it)); };
    spawn(acceptor_.get_executor(), "accept_operators",
          accept_connections(acceptor_, io_, on_socket));
    return absl::OkStatus();
}

void operator_server::stop()
{
    stopped_ = true;
    asio::post(acceptor_.get_executor(),
               [this]
               {
                   boost::system::error_code ec;
                   acceptor_.close(ec);
               });
}

void operator_server::start_session(asio::ip::tcp::socket socket)
{
    const auto executor = socket.get_executor();
    if (auto connection = limited_stream::open(connections_, std::move(socket)))
    {
        spawn(executor, "operator_session", serve(std::move(connection)));
    }
}

asio::awaitable<void> operator_server::serve(std::shared_ptr<limited_stream> connection)
{
    auto& stream = connection->stream();
    beast::flat_buffer buf{max_read_buffer_bytes};
    bool keep_alive = true;
    while (keep_alive && !stopped_)
    {
        boost::system::error_code ec;
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_body_bytes);
        stream.expires_after(read_timeout);
        co_await http::async_read(stream, buf, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            co_return;
        }
        const auto reply = make_reply(parser.get(), services_);
        keep_alive = reply.keep_alive();
        stream.expires_after(write_timeout);
        co_await http::async_write(stream, reply, asio::redirect_error(asio::use_awaitable, ec));
        connection->on_answered();
        keep_alive = keep_alive && !ec;
    }
    boost::system::error_code ec;
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

} // namespace mangovane

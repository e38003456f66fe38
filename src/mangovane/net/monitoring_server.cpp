// HTTP server for readiness and metrics.
#include "mangovane/net/monitoring_server.hpp"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/spawn.hpp"
#include "mangovane/net/tcp_acceptor.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr seconds idle_timeout{30};
constexpr std::uint32_t max_header_bytes = 8U * 1024;
constexpr std::size_t max_read_buffer_bytes = std::size_t{16} * 1024;

} // namespace

monitoring_server::monitoring_server(asio::io_context& io, monitoring_handler handler)
    : io_{io}, handler_{std::move(handler)}, acceptor_{asio::make_strand(io)},
      connections_{std::make_shared<connection_limit>(max_monitoring_connections)}
{}

absl::Status monitoring_server::listen(const std::string& address)
{
    if (auto status = open_acceptor(acceptor_, address); !status.ok())
    {
        return status;
    }
    port_ = acceptor_.local_endpoint().port();
    const auto on_socket = [this](asio::ip::tcp::socket it) { start_session(std::move(it)); };
    spawn(acceptor_.get_executor(), "accept_monitoring",
          accept_connections(acceptor_, io_, on_socket));
    return absl::OkStatus();
}

void monitoring_server::start_session(asio::ip::tcp::socket socket)
{
    const auto executor = socket.get_executor();
    if (auto connection = limited_stream::open(connections_, std::move(socket)))
    {
        spawn(executor, "monitoring_session", serve(std::move(connection)));
    }
}

asio::awaitable<void> monitoring_server::serve(std::shared_ptr<limited_stream> connection)
{
    auto& stream = connection->stream();
    beast::flat_buffer buf{max_read_buffer_bytes};
    bool open = true;
    while (open)
    {
        boost::system::error_code ec;
        http::request_parser<http::empty_body> parser;
        parser.header_limit(max_header_bytes);
        stream.expires_after(idle_timeout);
        co_await http::async_read(stream, buf, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            co_return;
        }
        const auto target = parser.get().target();
        const auto method = parser.get().method_string();
        auto content = handler_({{method.data(), method.size()}, {target.data(), target.size()}});
        http::response<http::string_body> reply{http::int_to_status(content.status), 11};
        reply.set(http::field::content_type, content.type);
        reply.body() = std::move(content.body);
        reply.keep_alive(parser.get().keep_alive());
        reply.prepare_payload();
        co_await http::async_write(stream, reply, asio::redirect_error(asio::use_awaitable, ec));
        connection->on_answered();
        open = !ec && reply.keep_alive();
    }
}

} // namespace mangovane

// Implementation of the HTTP server of the stand-ins.
#include "standin/http_host.hpp"

#include <algorithm>
#include <csignal>
#include <iostream>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/caller_request.hpp"
#include "mangovane/net/peek.hpp"

namespace mangovane::standin
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr std::uint64_t max_body = 64ULL * 1024 * 1024; ///< Bytes.

/// Interval at which a handler that works looks for the close of its connection.
constexpr std::chrono::milliseconds close_check_interval{50};

std::string head(unsigned status, const std::string& type, const std::string& attempt)
{
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    auto text = absl::StrCat("HTTP/1.1 ", status, " ", std::string{reason},
                             "\r\nContent-Type: ", type, "\r\n");
    if (!attempt.empty())
    {
        absl::StrAppend(&text, header::attempt, ": ", attempt, "\r\n");
    }
    return text;
}

asio::awaitable<void> serve_connection(asio::ip::tcp::socket socket, const handler& handle)
{
    beast::tcp_stream stream{std::move(socket)};
    beast::error_code ec;
    stream.socket().set_option(asio::ip::tcp::no_delay{true}, ec);
    beast::flat_buffer buf;
    for (bool keep = true; keep;)
    {
        http::request_parser<http::string_body> p;
        p.body_limit(max_body);
        co_await http::async_read(stream, buf, p, asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            break;
        }
        const auto req = p.release();
        keep = req.keep_alive();
        reply rep{stream};
        co_await handle(req, rep);
        keep = keep && rep.open();
    }
    stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
}

} // namespace

asio::awaitable<bool> reply::write(std::string data)
{
    beast::error_code ec;
    co_await asio::async_write(stream_, asio::buffer(data),
                               asio::redirect_error(asio::use_awaitable, ec));
    open_ = open_ && !ec;
    co_return open_;
}

void reply::add_field(const std::string& name, const std::string& value)
{
    absl::StrAppend(&fields_, name, ": ", value, "\r\n");
}

asio::awaitable<void> reply::pause(std::chrono::milliseconds time)
{
    asio::steady_timer timer{stream_.get_executor(), time};
    beast::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> reply::pause_while_connected(std::chrono::milliseconds time)
{
    for (auto left = time; open_ && left.count() > 0; left -= close_check_interval)
    {
        co_await pause(std::min(left, close_check_interval));
        open_ = open_ && peek(stream_.socket()) != peek_result::closed;
    }
}

asio::awaitable<void> reply::send(unsigned status, std::string body, std::string type)
{
    auto text = head(status, type, attempt_) + fields_;
    absl::StrAppend(&text, "Content-Length: ", body.size(), "\r\n\r\n", body);
    co_await write(std::move(text));
}

asio::awaitable<bool> reply::start_chunks(unsigned status, std::string type, std::string attempt)
{
    co_return co_await write(
        absl::StrCat(head(status, type, attempt), fields_, "Transfer-Encoding: chunked\r\n\r\n"));
}

asio::awaitable<bool> reply::start_until_close(unsigned status, std::string type)
{
    co_return co_await write(
        absl::StrCat(head(status, type, {}), fields_, "Connection: close\r\n\r\n"));
}

asio::awaitable<bool> reply::chunk(std::string data)
{
    co_return co_await write(absl::StrCat(absl::Hex(data.size()), "\r\n", data, "\r\n"));
}

asio::awaitable<bool> reply::raw(std::string bytes)
{
    co_return co_await write(std::move(bytes));
}

asio::awaitable<bool> reply::end_chunks()
{
    co_return co_await write("0\r\n\r\n");
}

void reply::reset()
{
    beast::error_code ec;
    open_ = false;
    // With SO_LINGER at zero, close sends RST, as after a crash of the peer.
    stream_.socket().set_option(asio::socket_base::linger{true, 0}, ec);
    stream_.socket().close(ec);
}

asio::awaitable<void> reply::close()
{
    beast::error_code ec;
    open_ = false;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    co_return;
}

asio::awaitable<void> accept_all(asio::ip::tcp::acceptor& acceptor, const handler& handle)
{
    while (acceptor.is_open())
    {
        beast::error_code ec;
        auto socket = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!ec)
        {
            asio::co_spawn(acceptor.get_executor(), serve_connection(std::move(socket), handle),
                           asio::detached);
        }
    }
}

int serve(const std::string& address, const handler& handle)
{
    const auto endpoint = parse_address(address);
    if (!endpoint)
    {
        std::cerr << "--listen is not an ip:port: " << address << '\n';
        return 2;
    }
    asio::io_context io{1};
    asio::ip::tcp::acceptor acceptor{io, *endpoint};
    asio::signal_set signals{io, SIGTERM, SIGINT};
    signals.async_wait([&io](beast::error_code, int) { io.stop(); });
    asio::co_spawn(io, accept_all(acceptor, handle), asio::detached);
    std::cout << "listening " << acceptor.local_endpoint().port() << std::endl;
    io.run();
    return 0;
}

} // namespace mangovane::standin

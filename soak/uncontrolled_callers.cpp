// Implementation of the callers that nobody controls.
#include "soak/uncontrolled_callers.hpp"

#include <array>
#include <string_view>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/address.hpp"
#include "mangovane/net/spawn.hpp"
#include "soak/call_text.hpp"

namespace mangovane::soak
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

/// A third of the callers for which the bound of memory is stated.
constexpr std::size_t caller_count = 100;
constexpr std::size_t max_connections = 20; ///< Of each caller.
constexpr milliseconds connection_timeout{2000};
constexpr milliseconds pause_between_connections{50};

/// Just below the largest head of a run of changes, so that the router accepts the request.
constexpr std::size_t legal_bytes = uncontrolled_header_bytes - 1024;
constexpr std::size_t endless_bytes = std::size_t{256} * 1024;

/// A request: the common begin, `begin`, then `part` repeated up to `bytes`, and `end`.
struct request_shape
{
    bool has_head{true}; ///< Begins with the request line and the fields that are needed.
    std::string_view begin;
    std::string_view part;
    std::size_t bytes{0};
    std::string_view end;
};

constexpr std::array<request_shape, 5> shapes{
    {{true, "", "a:\r\n", legal_bytes, "Content-Length: 0\r\n\r\n"},
     {true, "", "x17: \t \r\n", legal_bytes, "Content-Length: 0\r\n\r\n"},
     {true, "", "X-More: 1\r\n", endless_bytes, ""},
     {true, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "a:\r\n", endless_bytes, ""},
     {false, "", "\r\n", endless_bytes, ""}}};

std::string text_of(const request_shape& shape, const std::string& request)
{
    std::string result;
    if (shape.has_head)
    {
        result = absl::StrCat("POST ", target_of(request), " HTTP/1.1\r\nHost: desk.example\r\n",
                              "X-Attempt-Id: ", request, "\r\nX-Deadline-Ms: 6000\r\n",
                              "Authorization: Bearer ", key_of(request), "\r\n");
    }
    result += shape.begin;
    while (result.size() + shape.part.size() <= shape.bytes)
    {
        result += shape.part;
    }
    result += shape.end;
    return result;
}

asio::awaitable<void> pause(milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    beast::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

/// Sends the bytes on a connection of its own, and reads what comes until its end.
asio::awaitable<void> send_bytes(const std::string& address, const std::string& text)
{
    beast::tcp_stream conn{co_await asio::this_coro::executor};
    conn.expires_after(connection_timeout);
    beast::error_code ec;
    co_await conn.async_connect(*parse_address(address),
                                asio::redirect_error(asio::use_awaitable, ec));
    if (!ec)
    {
        co_await asio::async_write(conn, asio::buffer(text),
                                   asio::redirect_error(asio::use_awaitable, ec));
        http::response<http::string_body> response;
        beast::flat_buffer buffer;
        co_await http::async_read(conn, buffer, response,
                                  asio::redirect_error(asio::use_awaitable, ec));
    }
}

} // namespace

uncontrolled_callers::uncontrolled_callers(asio::io_context& io, const std::string& address)
{
    for (std::size_t n = 0; n != caller_count; ++n)
    {
        spawn(asio::make_strand(io), "uncontrolled_caller", send_all(stopping_, address, n));
    }
}

asio::awaitable<void>
uncontrolled_callers::send_all(stop_flag stopping, std::string address, std::size_t caller)
{
    for (std::size_t n = 0; n != max_connections && !*stopping; ++n)
    {
        const auto request = make_uncontrolled_id(caller, n);
        const auto text = text_of(shapes.at((caller + n) % shapes.size()), request);
        co_await send_bytes(address, text);
        co_await pause(pause_between_connections);
    }
}

} // namespace mangovane::soak

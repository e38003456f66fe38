// Implementation of the callers around a stop.
#include "platform/stop_callers.hpp"

#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/peek.hpp"

namespace mangovane::test
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

struct stop_callers::connection
{
    connection(const planned_connection& p, connection_fate& f, asio::io_context& io)
        : plan{p}, fate{f}, socket{io}
    {}

    const planned_connection& plan;
    connection_fate& fate;
    asio::ip::tcp::socket socket;
    beast::flat_buffer buf;
};

namespace
{

bool has_ended(const request_fate& fate)
{
    return fate.ended_at != time_point{};
}

void note_end(request_fate& fate, const beast::error_code& ec)
{
    fate.ended_at = clock::now();
    fate.error = ec.message();
}

asio::awaitable<beast::error_code> write(asio::ip::tcp::socket& socket, std::string bytes)
{
    beast::error_code ec;
    co_await asio::async_write(socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return ec;
}

/// Whether the answer leaves the connection open.
asio::awaitable<bool>
read_answer(asio::ip::tcp::socket& socket, beast::flat_buffer& buf, request_fate& fate)
{
    http::response_parser<http::string_body> p;
    beast::error_code ec;
    co_await http::async_read(socket, buf, p, asio::redirect_error(asio::use_awaitable, ec));
    note_end(fate, ec);
    fate.complete = !ec;
    fate.status = p.is_header_done() ? p.get().result_int() : 0;
    fate.body = p.get().body();
    co_return !ec && p.get().keep_alive();
}

} // namespace

stop_callers::stop_callers(const router_fleet& fleet,
                           const std::vector<planned_connection>& plan,
                           time_point stop_at,
                           time_point give_up_at)
    : fleet_{fleet}, plan_{plan}, stop_at_{stop_at}, give_up_at_{give_up_at},
      fates_(plan.size()), open_calls_{plan.size()}
{
    for (std::size_t n = 0; n != plan.size(); ++n)
    {
        asio::co_spawn(io_, call(n), asio::detached);
    }
    asio::co_spawn(io_, lag_.run(), asio::detached);
    thread_ = std::thread{[this] { io_.run_until(give_up_at_); }};
}

void stop_callers::finish()
{
    if (thread_.joinable())
    {
        thread_.join();
    }
}

asio::awaitable<void> stop_callers::call(std::size_t n)
{
    static constexpr std::array<asio::awaitable<void> (stop_callers::*)(connection_ptr), 4> table{
        &stop_callers::call_fresh, &stop_callers::call_kept, &stop_callers::call_pipelined,
        &stop_callers::call_half_read};
    const auto it = std::make_shared<connection>(plan_[n], fates_[n], io_);
    auto& request = it->fate.request;
    request.id = it->plan.request.id;
    request.route = route_of(it->plan.request);
    request.router = it->plan.router;
    it->fate.earlier.id = request.id + "-earlier";
    it->fate.earlier.route = "review";
    it->fate.earlier.router = request.router;
    co_await sleep_until(time_of(it->plan.opened_at));
    beast::error_code ec;
    const auto address = *parse_address(fleet_.address(it->plan.router, 0));
    co_await it->socket.async_connect(address, asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
    {
        note_end(request, ec);
    }
    else
    {
        co_await (this->*table[static_cast<std::size_t>(it->plan.kind)])(it);
    }
    if (--open_calls_ == 0)
    {
        lag_.stop();
    }
}

asio::awaitable<void> stop_callers::send_request(connection_ptr it, std::string text)
{
    auto& fate = it->fate.request;
    co_await sleep_until(time_of(it->plan.request.sent_at));
    // A caller does not use a connection that it has seen closed.
    if (has_ended(fate) || peek(it->socket) == peek_result::closed)
    {
        co_return;
    }
    const auto ec = co_await write(it->socket, std::move(text));
    fate.sent_at = ec ? time_point{} : clock::now();
}

asio::awaitable<bool> stop_callers::finish_earlier(connection_ptr it)
{
    auto& fate = it->fate;
    const bool kept = co_await read_answer(it->socket, it->buf, fate.earlier);
    if (!kept)
    {
        fate.can_answer = false;
        note_end(fate.request, {});
    }
    co_return kept;
}

asio::awaitable<void> stop_callers::call_fresh(connection_ptr it)
{
    co_await send_request(it, text_of(it->plan.request));
    co_await read_answer(it->socket, it->buf, it->fate.request);
}

asio::awaitable<void> stop_callers::call_kept(connection_ptr it)
{
    const auto ec = co_await write(it->socket, text_of(*it->plan.earlier));
    it->fate.earlier.sent_at = ec ? time_point{} : clock::now();
    const bool kept = co_await finish_earlier(it);
    if (kept)
    {
        co_await call_fresh(it);
    }
}

asio::awaitable<void> stop_callers::call_pipelined(connection_ptr it)
{
    const auto ec = co_await write(it->socket, text_of(*it->plan.earlier));
    it->fate.earlier.sent_at = ec ? time_point{} : clock::now();
    asio::co_spawn(io_, send_request(it, text_of(it->plan.request)), asio::detached);
    const bool kept = co_await finish_earlier(it);
    if (kept)
    {
        co_await read_answer(it->socket, it->buf, it->fate.request);
    }
}

asio::awaitable<void> stop_callers::call_half_read(connection_ptr it)
{
    const auto text = text_of(it->plan.request);
    const auto ec = co_await write(it->socket, text.substr(0, it->plan.first_part));
    if (!ec)
    {
        co_await send_request(it, text.substr(it->plan.first_part));
    }
    co_await read_answer(it->socket, it->buf, it->fate.request);
}

} // namespace mangovane::test

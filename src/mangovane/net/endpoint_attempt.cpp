// Sends a request to an endpoint and relays the response to the caller.
#include "mangovane/net/endpoint_attempt.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/http_serialization.hpp"
#include "mangovane/net/peek.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr std::size_t relay_buffer_bytes = std::size_t{16} * 1024;

bool is_overload(unsigned status)
{
    return status == 503 || status == 429;
}

} // namespace

endpoint_attempt::endpoint_attempt(const asio::any_io_executor& executor,
                                   attempt_parameters params,
                                   response_sink& sink,
                                   const frontend_services& services)
    : params_{std::move(params)}, sink_{sink}, services_{services}, watched_{services.connections,
                                                                             services.liveness},
      socket_{std::make_shared<timed_socket>(executor)}
{
    result_.attempt = params_.action.attempt;
    result_.may_have_reached_endpoint = false;
}

void endpoint_attempt::abort()
{
    aborted_ = true;
    watched_.stop();
    socket_->close();
}

asio::awaitable<attempt_ended> endpoint_attempt::run()
{
    bool open = co_await connect();
    if (open)
    {
        open = co_await send();
    }
    if (open)
    {
        open = co_await read_header();
    }
    if (open && is_usable())
    {
        co_await relay();
    }
    if (params_.store_response && result_.response_complete)
    {
        stored_response_.http_status = static_cast<std::uint16_t>(parser_->get().result_int());
        result_.stored = stored_response_;
    }
    watched_.stop();
    socket_->close();
    co_return result_;
}

asio::awaitable<bool> endpoint_attempt::connect()
{
    const auto address = parse_address(params_.action.address);
    if (!address)
    {
        co_return false;
    }
    beast::error_code ec;
    const auto connect_until =
        std::min(params_.deadline, clock::now() + services_.limits.connect_timeout);
    socket_->expire_at(connect_until, is_writable);
    co_await socket_->socket().async_connect(*address,
                                             asio::redirect_error(asio::use_awaitable, ec));
    if (!ec && clock::now() >= connect_until)
    {
        // This process was late, and the permission to send the request may have run out.
        result_.outcome = attempt_outcome::cancelled;
        co_return false;
    }
    const bool connected = may_continue(ec);
    if (connected)
    {
        socket_->socket().set_option(asio::ip::tcp::no_delay{true}, ec);
        watched_.start(params_.action.address, socket_->socket().native_handle());
    }
    co_return connected;
}

asio::awaitable<bool> endpoint_attempt::send()
{
    auto head = request_head_text();
    const std::array<asio::const_buffer, 2> buffers{asio::buffer(head),
                                                    asio::buffer(*params_.request->body)};
    sent_at_ = clock::now();
    // Bytes may reach the endpoint even if the write fails, so the request may run from here on.
    result_.may_have_reached_endpoint = true;
    beast::error_code ec;
    socket_->expire_at(params_.deadline, is_writable);
    co_await asio::async_write(socket_->socket(), buffers,
                               asio::redirect_error(asio::use_awaitable, ec));
    params_.request.reset();
    co_return may_continue(ec);
}

std::string endpoint_attempt::request_head_text() const
{
    const auto& request = *params_.request;
    auto head = endpoint_head(request.head, params_.target);
    head.set(header::attempt, to_string(params_.action.attempt));
    head.set(header::deadline_ms, std::to_string(remaining_ms(params_.deadline, clock::now())));
    head.set(http::field::host, params_.action.address);
    return serialize_head(head, framing_of(request.head.method(), request.body->size()), false);
}

asio::awaitable<bool> endpoint_attempt::read_header()
{
    socket_->expire_at(params_.deadline, is_readable);
    const auto ec = co_await read_final_head(socket_->socket(), buffer_, parser_, params_.head_only,
                                             services_.limits.callers.header_bytes);
    co_return may_continue(ec);
}

bool endpoint_attempt::may_continue(const beast::error_code& ec)
{
    if (ec && socket_->expired() && clock::now() >= params_.deadline)
    {
        // The caller chose the deadline; that it has passed is no failure of the endpoint.
        result_.outcome = attempt_outcome::cancelled;
    }
    return !ec && !aborted_;
}

bool endpoint_attempt::is_usable()
{
    const auto& res = parser_->get();
    const auto it = res.find(header::attempt);
    if (it != res.end() && it->value() != to_string(params_.action.attempt))
    {
        attempt_mismatch_ = true;
        return false;
    }
    if (!sink_.is_current(params_.action.attempt))
    {
        return false;
    }
    const auto status = res.result_int();
    if (is_overload(status))
    {
        result_.outcome = attempt_outcome::overloaded;
    }
    // A request that must not be retried gets its response relayed, errors included.
    return !params_.idempotent || (status < 500 && !is_overload(status));
}

std::string endpoint_attempt::response_head_text() const
{
    const auto& res = parser_->get();
    std::string text =
        absl::StrCat("HTTP/1.1 ", res.result_int(), " ", std::string{res.reason()}, "\r\n");
    for (const auto& it : res)
    {
        const bool is_hop_by_hop = it.name() == http::field::connection ||
                                   it.name() == http::field::keep_alive ||
                                   it.name() == http::field::transfer_encoding;
        if (!is_hop_by_hop)
        {
            absl::StrAppend(&text, std::string{it.name_string()}, ": ", std::string{it.value()},
                            "\r\n");
        }
    }
    absl::StrAppend(&text, chunked_ ? "Transfer-Encoding: chunked\r\n" : "");
    if (!params_.affinity.empty())
    {
        absl::StrAppend(&text, header::affinity, ": ", params_.affinity, "\r\n");
    }
    absl::StrAppend(&text, "Connection: ", params_.keep_alive ? "keep-alive" : "close", "\r\n\r\n");
    return text;
}

asio::awaitable<void> endpoint_attempt::relay()
{
    const auto& res = parser_->get();
    chunked_ = !parser_->content_length() && !params_.head_only &&
               res.result() != http::status::no_content;
    const auto it = res.find(http::field::content_type);
    if (it != res.end())
    {
        stored_response_.content_type = std::string{it->value()};
    }
    if (!sink_.on_answer_started(params_.action.attempt))
    {
        co_return;
    }
    result_.response_started = true;
    const auto head = response_head_text();
    const bool written = co_await write_to_caller(asio::buffer(head));
    co_await relay_body(written);
}

asio::awaitable<bool> endpoint_attempt::write_to_caller(asio::const_buffer buf)
{
    if (!sink_.is_current(params_.action.attempt))
    {
        co_return false;
    }
    const bool written = co_await sink_.write_to_caller(buf);
    co_return written;
}

void endpoint_attempt::append_to_stored(const char* data, std::size_t n)
{
    if (!params_.store_response)
    {
        return;
    }
    stored_response_.body_digest =
        hash_combine(stored_response_.body_digest, hash_bytes({data, n}));
    if (stored_response_.body.size() + n > max_stored_body_bytes)
    {
        stored_response_.body_stored = false;
        stored_response_.body.clear();
    }
    if (stored_response_.body_stored)
    {
        stored_response_.body.append(data, n);
    }
}

asio::awaitable<bool> endpoint_attempt::is_complete()
{
    socket_->stop();
    if (!parser_->need_eof())
    {
        co_return true;
    }
    const auto verdict =
        co_await watched_.check(services_.limits.crash_check, std::nullopt, params_.deadline);
    co_return verdict.complete;
}

asio::awaitable<void> endpoint_attempt::relay_body(bool to_caller)
{
    std::array<char, relay_buffer_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
    bool complete = parser_->is_done();
    while (!complete)
    {
        parser_->get().body().data = buf.data();
        parser_->get().body().size = buf.size();
        beast::error_code ec;
        co_await http::async_read_some(socket_->socket(), buffer_, *parser_,
                                       asio::redirect_error(asio::use_awaitable, ec));
        if (ec == http::error::need_buffer)
        {
            ec = {};
        }
        const auto n = buf.size() - parser_->get().body().size;
        if (n != 0 && parser_->need_eof())
        {
            watched_.on_part(n, buf.size(), socket_->socket());
        }
        if (n != 0 && result_.first_token_ms == 0)
        {
            const auto wait = std::chrono::duration_cast<milliseconds>(clock::now() - sent_at_);
            result_.first_token_ms =
                static_cast<std::uint32_t>(std::max<std::int64_t>(wait.count(), 1));
        }
        append_to_stored(buf.data(), n);
        if (to_caller && n != 0)
        {
            const auto size = chunked_ ? absl::StrCat(absl::Hex(n), "\r\n") : std::string{};
            std::string out;
            out.reserve(size.size() + n + 2);
            out.append(size).append(buf.data(), n).append(chunked_ ? "\r\n" : "");
            to_caller = co_await write_to_caller(asio::buffer(out));
        }
        const bool open = may_continue(ec);
        if (!open || (!to_caller && params_.idempotent))
        {
            co_return;
        }
        complete = parser_->is_done();
    }
    const bool whole = co_await is_complete();
    if (!whole)
    {
        co_return;
    }
    if (to_caller && chunked_)
    {
        static constexpr std::string_view last_chunk = "0\r\n\r\n";
        to_caller = co_await write_to_caller(asio::buffer(last_chunk));
    }
    result_.response_complete = true;
    if (result_.outcome == attempt_outcome::failed)
    {
        result_.outcome = attempt_outcome::succeeded;
    }
}

} // namespace mangovane

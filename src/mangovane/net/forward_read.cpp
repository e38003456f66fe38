// Session of a caller on routes: reading of requests.
#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>

#include "mangovane/net/caller_connection.hpp"
#include "mangovane/net/caller_request.hpp"
#include "mangovane/net/forward_session.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

std::string reason_of_bad_input(bool exhausted, const boost::system::error_code& ec)
{
    if (exhausted)
    {
        return "the instance holds as many requests as its memory permits";
    }
    return ec ? ec.message() : "the message framing or the Host header is ambiguous";
}

/// Whether two HTTP parsers could disagree on the end of the body or on the host. Forwarding such a
/// request would allow request smuggling.
bool is_ambiguous(const http::request_header<>& head)
{
    const auto coding = head[http::field::transfer_encoding];
    return (!coding.empty() && !beast::iequals(coding, "chunked")) ||
           head.count(http::field::content_length) > 1 || head.count(http::field::host) != 1 ||
           (!coding.empty() && head.count(http::field::content_length) != 0);
}

} // namespace

asio::awaitable<bool> forward_session::await_first_byte(const http_limits& limits)
{
    if (reader_.buffer().size() == 0)
    {
        // Idle connections hold no buffer memory.
        reader_.buffer().shrink_to_fit();
    }
    const auto idle_deadline = clock::now() + limits.idle_timeout;
    const bool begun = co_await reader_.await_first_byte(idle_deadline, shared_from_this());
    if (!begun)
    {
        note_end(reader_.draining() ? session_end::stopped : session_end::idle);
    }
    co_return begun;
}

asio::awaitable<bool> forward_session::read_request()
{
    const auto settings = services_.core.settings();
    const auto limits = settings ? settings->request_limits : http_limits{};
    const bool begun = co_await await_first_byte(limits);
    if (!begun)
    {
        co_return false;
    }
    current_.emplace(services_.held_requests);
    request_parser p;
    p.header_limit(limits.header_bytes);
    p.body_limit(limits.body_bytes);
    auto& buffer = reader_.buffer();
    buffer.max_size(std::max<std::size_t>(limits.header_bytes, min_read_buffer_bytes));
    error_code ec;
    reader_.start_deadline(clock::now() + limits.header_timeout, shared_from_this());
    ec = co_await reader_.read_head_bytes(limits.header_bytes);
    ec = ec ? ec : reader_.parse_head(p);
    const bool ambiguous = !ec && is_ambiguous(p.get().base());
    bool exhausted = !ec && !hold_head(p);
    if (!ec && !ambiguous && !exhausted)
    {
        ec = co_await read_body(p);
    }
    reader_.stop_deadline();
    exhausted = exhausted || buffer.exhausted() || current_->exhausted;
    const auto fault =
        ambiguous ? std::optional{error_kind::malformed_request} : kind_of_bad_input(ec);
    const auto bad = exhausted ? std::optional{error_kind::overloaded} : fault;
    if (bad)
    {
        note_end(session_end::rejected);
        keep_alive_ = false;
        std::string reason = reason_of_bad_input(exhausted, ec);
        co_await refuse(*bad, std::move(reason), seconds{descriptor_of(*bad).retry_after_s});
    }
    if (ec == asio::error::operation_aborted && reader_.is_cut())
    {
        note_end(session_end::stop_cut);
        services_.stop.count_refused();
        co_await refuse(error_kind::stopping, "the instance stops", {});
        co_return false;
    }
    if (ec || bad)
    {
        note_end(end_of_failed_read(ec, buffer.size() != 0 || p.got_some()));
        co_return false;
    }
    // A request that is held takes no read buffer.
    buffer.shrink_to_fit();
    current_->body = std::make_shared<const std::string>(std::move(p.get().body()));
    co_return true;
}

bool forward_session::hold_head(request_parser& p)
{
    auto& current = *current_;
    keep_alive_ = p.get().keep_alive();
    current.expects_continue = beast::iequals(p.get()[http::field::expect], "100-continue");
    current.head = held_head{p.get().base()};
    current.request_id = services_.dialect.request_id(p.get().base());
    p.get().base().clear();
    return current.reservation.try_grow(current.head.bytes());
}

asio::awaitable<forward_session::error_code> forward_session::read_body(request_parser& p)
{
    auto& current = *current_;
    error_code ec;
    if (current.expects_continue)
    {
        const bool written = co_await write_to_caller("HTTP/1.1 100 Continue\r\n\r\n");
        ec = written ? error_code{} : asio::error::broken_pipe;
    }
    const auto& body = p.get().body();
    std::size_t charged = 0;
    while (!ec && !p.is_done())
    {
        co_await http::async_read_some(socket_, reader_.buffer(), p,
                                       asio::redirect_error(asio::use_awaitable, ec));
        // Memory that was reserved for a stated length is used only as the body arrives.
        const auto taken = std::min(body.capacity(), 2 * body.size());
        if (taken > charged && !current.reservation.try_grow(taken - charged))
        {
            current.exhausted = true;
            co_return asio::error::no_memory;
        }
        charged = std::max(charged, taken);
    }
    co_return ec;
}

} // namespace mangovane

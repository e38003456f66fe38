// Session of a caller on routes: reading of requests.
#include <utility>

#include <boost/beast/core/string.hpp>

#include "mangovane/net/forward_session.hpp"
#include "mangovane/net/request_reader.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

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
        note_end(reader_.end_of_wait());
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
    current_.emplace(reader_.memory());
    reader_.start_deadline(clock::now() + limits.header_timeout, shared_from_this());
    auto failure = co_await receive(limits);
    reader_.stop_deadline();
    if (!failure)
    {
        failure = reader_.begin_serving();
    }
    if (!failure)
    {
        co_return true;
    }
    note_end(failure->end);
    // Others need the memory while the refusal is on its way.
    reader_.drop_request();
    current_->held.drop_body();
    if (failure->end == session_end::stop_cut)
    {
        services_.stop.count_refused();
    }
    if (failure->refusal)
    {
        keep_alive_ = false;
        // Other instances serve while this one stops: its callers need not wait.
        const bool stops = failure->end == session_end::stop_cut;
        const seconds retry_after{stops ? 0 : descriptor_of(*failure->refusal).retry_after_s};
        co_await refuse(*failure->refusal, std::move(failure->reason), retry_after);
    }
    current_.reset();
    co_return false;
}

asio::awaitable<std::optional<request_failure>> forward_session::receive(const http_limits& limits)
{
    request_reader request{reader_, current_->held, limits};
    auto ec = co_await request.read_head();
    const bool ambiguous = !ec && is_ambiguous(request.head());
    if (!ec)
    {
        current_->request_id = services_.dialect.request_id(request.head());
        ec = request.hold_head();
        keep_alive_ = current_->held.keep_alive;
    }
    if (!ec && ambiguous)
    {
        co_return request_failure{error_kind::malformed_request,
                                  "the message framing or the Host header is ambiguous",
                                  session_end::rejected};
    }
    if (!ec)
    {
        ec = co_await read_body(request);
    }
    co_return reader_.failure_of(ec, request.begun());
}

asio::awaitable<forward_session::error_code> forward_session::read_body(request_reader& request)
{
    if (current_->held.expects_continue)
    {
        const bool written = co_await write_to_caller("HTTP/1.1 100 Continue\r\n\r\n");
        if (!written)
        {
            co_return asio::error::broken_pipe;
        }
    }
    const auto ec = co_await request.read_body();
    co_return ec;
}

} // namespace mangovane

// Implementation of the reading side of a caller's connection.
#include "mangovane/net/caller_reader.hpp"

#include <algorithm>
#include <cctype>
#include <string_view>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include "mangovane/net/caller_connection.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

/// Whether a request may begin with the byte: a method, or an empty line before it.
bool may_begin_request(char it)
{
    const auto byte = static_cast<unsigned char>(it);
    return std::isalnum(byte) != 0 || it == '\r' ||
           std::string_view{"!#$%&'*+-.^_`|~"}.find(it) != std::string_view::npos;
}

/// Error for bytes that are not an acceptable request; empty if the connection failed.
std::optional<error_kind> kind_of_bad_input(const boost::system::error_code& ec)
{
    if (ec == http::error::body_limit)
    {
        return error_kind::body_too_large;
    }
    if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
    {
        return error_kind::header_too_large;
    }
    const bool connection = ec == http::error::end_of_stream || ec == http::error::partial_message;
    const bool bad = ec.category() == http::make_error_code(http::error::bad_method).category();
    return bad && !connection ? std::optional{error_kind::malformed_request} : std::nullopt;
}

/// Why the connection ends after a failed read; `begun`: a part of a request had been read.
session_end end_of_failed_read(const boost::system::error_code& ec, bool begun)
{
    if (ec == asio::error::operation_aborted)
    {
        return session_end::request_timeout;
    }
    return begun ? session_end::read_failed : session_end::caller_closed;
}

} // namespace

caller_reader::caller_reader(asio::ip::tcp::socket& socket,
                             std::shared_ptr<caller_resources> resources)
    : socket_{socket}, deadline_{socket.get_executor()}, resources_{std::move(resources)},
      memory_{std::make_shared<request_share>(
          std::shared_ptr<request_memory>{resources_, &resources_->requests})},
      buffer_{memory_}
{}

bool caller_reader::open(connection_limit::evict_handler on_evicted)
{
    memory_->on_evict(on_evicted);
    place_ = resources_->connections.admit(std::move(on_evicted), clock::now());
    return place_.has_value();
}

void caller_reader::begin_stall()
{
    if (!stalled_in_)
    {
        stalled_in_ = place_->enter(connection_phase::stalled, clock::now());
    }
}

void caller_reader::end_stall()
{
    if (const auto phase = std::exchange(stalled_in_, std::nullopt))
    {
        place_->enter(*phase, clock::now());
    }
}

void caller_reader::begin_closing()
{
    closing_ = true;
    place_->enter(connection_phase::closing, clock::now());
    if (place_->evicted())
    {
        close();
    }
}

void caller_reader::evict()
{
    const bool ends_by_close = closing_ || stalled_in_;
    if (!place_->evicted() && (ends_by_close || !memory_->evicted()))
    {
        return;
    }
    if (ends_by_close)
    {
        evicted_ = true;
        close();
        return;
    }
    const bool goes_on = !waiting_ && !reading_;
    const bool has_request = waiting_ && peek(socket_) == peek_result::data;
    if (goes_on || has_request)
    {
        place_->keep();
        return;
    }
    evicted_ = true;
    cancel();
}

void caller_reader::close()
{
    boost::system::error_code ec;
    socket_.close(ec);
}

void caller_reader::drop_request()
{
    dropped_ = buffer_.size() != 0;
    buffer_.clear();
    buffer_.shrink_to_fit();
    memory_->end_request();
}

session_end caller_reader::end_of_wait() const noexcept
{
    if (evicted_)
    {
        return session_end::evicted;
    }
    return draining_ ? session_end::stopped : session_end::idle;
}

std::optional<request_failure> caller_reader::begin_serving()
{
    if (!place_->begin_serving(clock::now()))
    {
        return request_failure{error_kind::overloaded,
                               "the instance serves as many requests as its connections permit",
                               session_end::rejected};
    }
    memory_->end_request();
    evicted_ = false;
    ++requests_;
    return std::nullopt;
}

asio::awaitable<bool> caller_reader::await_first_byte(time_point idle_deadline, owner_ptr owner)
{
    if (evicted_)
    {
        co_return false;
    }
    const auto now = clock::now();
    if (buffer_.size() != 0)
    {
        begin_request(now);
        co_return true;
    }
    if (requests_ != 0)
    {
        place_->enter(connection_phase::idle, now);
    }
    const auto deadline = draining_ ? now + first_request_wait : idle_deadline;
    start_idle_deadline(cut_ ? now : deadline, std::move(owner));
    waiting_ = true;
    boost::system::error_code ec;
    co_await socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                asio::redirect_error(asio::use_awaitable, ec));
    waiting_ = false;
    deadline_.stop();
    // Bytes may have arrived between the last look at the socket and the end of the wait.
    const bool begun = !evicted_ && (!ec || peek(socket_) == peek_result::data);
    if (begun)
    {
        begin_request(clock::now());
    }
    co_return begun;
}

void caller_reader::begin_request(time_point now)
{
    memory_->begin_request(now);
    if (requests_ != 0)
    {
        place_->enter(connection_phase::receiving, now);
    }
}

void caller_reader::start_idle_deadline(time_point at, owner_ptr owner)
{
    deadline_.start(
        at, [this, owner] { return has_arrived(); }, [this, owner] { cancel(); });
}

void caller_reader::start_deadline(time_point at, const owner_ptr& owner)
{
    reading_ = true;
    start_read_deadline(cut_ ? clock::now() : at, owner);
}

void caller_reader::stop_deadline()
{
    reading_ = false;
    deadline_.stop();
}

void caller_reader::start_read_deadline(time_point at, const owner_ptr& owner)
{
    deadline_.start(
        at, [this, owner] { return has_arrived(); },
        [this, owner]
        {
            cancel();
            // The read may have completed just before and go on with the next one.
            start_read_deadline(clock::now() + arrival_grace, owner);
        });
}

void caller_reader::drain(const owner_ptr& owner)
{
    draining_ = true;
    if (waiting_ && peek(socket_) != peek_result::data)
    {
        const auto wait = requests_ != 0 ? milliseconds{0} : first_request_wait;
        start_idle_deadline(clock::now() + wait, owner);
    }
}

void caller_reader::cut(const owner_ptr& owner)
{
    cut_ = true;
    draining_ = true;
    if (waiting_)
    {
        cancel();
    }
    else if (reading_)
    {
        start_read_deadline(clock::now(), owner);
    }
}

void caller_reader::cancel()
{
    boost::system::error_code ec;
    socket_.cancel(ec);
}

asio::awaitable<boost::system::error_code> caller_reader::read_head_bytes(std::size_t limit)
{
    constexpr std::size_t read_bytes = 4096;
    constexpr std::string_view end_of_head{"\r\n\r\n"};
    std::size_t searched = 0;
    while (true)
    {
        const auto data = buffer_.cdata();
        const std::string_view text{static_cast<const char*>(data.data()), data.size()};
        const auto end = text.find(end_of_head, searched);
        if (end != std::string_view::npos || (!text.empty() && !may_begin_request(text.front())))
        {
            co_return end != std::string_view::npos&& end + end_of_head.size() > limit
                ? http::make_error_code(http::error::header_limit)
                : boost::system::error_code{};
        }
        if (text.size() >= limit)
        {
            co_return http::make_error_code(http::error::header_limit);
        }
        searched = text.size() - std::min(text.size(), end_of_head.size() - 1);
        const auto ec = co_await read_some(read_bytes);
        if (ec == asio::error::eof)
        {
            co_return http::make_error_code(buffer_.size() == 0 ? http::error::end_of_stream
                                                                : http::error::partial_message);
        }
        if (ec)
        {
            co_return ec;
        }
    }
}

asio::awaitable<boost::system::error_code> caller_reader::read_some(std::size_t n)
{
    const auto left = buffer_.max_size() - buffer_.size();
    if (left == 0)
    {
        co_return http::make_error_code(http::error::buffer_overflow);
    }
    const auto room = buffer_.try_prepare(std::min(n, left));
    if (!room)
    {
        co_return asio::error::no_memory;
    }
    boost::system::error_code ec;
    const auto count =
        co_await socket_.async_read_some(*room, asio::redirect_error(asio::use_awaitable, ec));
    buffer_.commit(count);
    if (evicted_)
    {
        co_return asio::error::operation_aborted;
    }
    co_return ec;
}

std::optional<request_failure> caller_reader::failure_of(const boost::system::error_code& ec,
                                                         bool begun) const
{
    if (!ec)
    {
        return std::nullopt;
    }
    if (ec == asio::error::no_memory || buffer_.exhausted())
    {
        return request_failure{error_kind::overloaded,
                               "the instance holds as many requests as its memory permits",
                               session_end::rejected};
    }
    if (ec == asio::error::operation_aborted && evicted_)
    {
        // The refusal of a connection that is not closed for others is awaited.
        const auto end = place_->evicted() ? session_end::evicted : session_end::rejected;
        return request_failure{error_kind::overloaded,
                               "the request was not complete when others needed its place", end};
    }
    if (ec == asio::error::operation_aborted && cut_)
    {
        return request_failure{error_kind::stopping, "the instance stops", session_end::stop_cut};
    }
    if (const auto kind = kind_of_bad_input(ec))
    {
        return request_failure{*kind, ec.message(), session_end::rejected};
    }
    return request_failure{std::nullopt, {}, end_of_failed_read(ec, begun)};
}

} // namespace mangovane

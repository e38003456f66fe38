// Session of a caller on routes: relay of responses, complete or while they are being read.
#include <array>
#include <utility>

#include "mangovane/net/forward_session.hpp"

namespace mangovane
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t read_buffer_bytes = std::size_t{8} * 1024;

/// Largest response body that is held until it is complete. Such a response can still be replaced
/// by that of another endpoint when it breaks off; a larger one is relayed while it is read.
constexpr std::size_t max_held_bytes = std::size_t{256} * 1024;

} // namespace

asio::awaitable<forward_session::error_code> forward_session::read_part(std::span<char> buf,
                                                                        std::size_t& n)
{
    const auto ec = co_await call_->read_some(buf, n);
    current_->endpoint_error = ec;
    co_return ec;
}

asio::awaitable<forward_session::held_body> forward_session::hold_body(buffered_response& answer,
                                                                       const send_step* step)
{
    std::array<char, read_buffer_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (!call_->done())
    {
        if (step != nullptr)
        {
            start_progress_deadline(*step);
        }
        std::size_t n = 0;
        const auto ec = co_await read_part(buf, n);
        answer.body.append(buf.data(), n);
        if (ec)
        {
            co_return held_body::broken;
        }
        if (answer.body.size() > max_held_bytes || !answer.reservation.try_grow(n))
        {
            co_return held_body::oversized;
        }
    }
    const bool complete = co_await is_complete();
    co_return complete ? held_body::complete : held_body::broken;
}

asio::awaitable<bool> forward_session::is_complete()
{
    // The response has been read; the time that was left for it does not limit the check.
    call_deadline_.stop();
    if (!call_->ends_with_connection())
    {
        co_return true;
    }
    // A connection that was reset looks as if it had ended in order once the write of the request
    // has taken the error. The write may fail until the endpoint has been asked.
    const auto verdict = co_await check_end();
    const bool was_reset = static_cast<bool>(call_->write_error());
    co_return verdict.complete && !was_reset;
}

asio::awaitable<attempt_result> forward_session::read_failure()
{
    auto& current = *current_;
    current.error_response =
        buffered_response{call_->head(), byte_reservation{services_.held_responses}, {}};
    const auto held = co_await hold_body(*current.error_response);
    if (held != held_body::complete)
    {
        current.error_response.reset();
        co_return early_end_result(attempt_result::broken);
    }
    remove_hop_by_hop_fields(current.error_response->head);
    co_return current.flow->response_started() ? attempt_result::broken : attempt_result::error;
}

asio::awaitable<attempt_result> forward_session::relay_buffered(const send_step& step)
{
    buffered_response answer{call_->head(), byte_reservation{services_.held_responses}, {}};
    const auto held = co_await hold_body(answer, &step);
    if (held == held_body::broken)
    {
        co_return early_end_result(attempt_result::broken);
    }
    if (held == held_body::oversized)
    {
        const auto result = co_await relay_oversized(answer);
        co_return result;
    }
    remove_hop_by_hop_fields(answer.head);
    current_->first_byte_at = clock::now();
    const bool written = co_await write_buffered(answer);
    co_return written ? attempt_result::delivered : attempt_result::caller_left;
}

asio::awaitable<attempt_result> forward_session::relay_oversized(const buffered_response& answer)
{
    const auto length = call_->content_length();
    const bool chunked = !length;
    const auto framed = [&](std::string_view bytes)
    { return chunked ? encode_chunk(bytes) : std::string{bytes}; };
    start_call_deadline(current_->flow->request().deadline);
    auto out = begin_response(answer.head, {chunked, length}) + framed(answer.body);
    std::array<char, read_buffer_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (!call_->done())
    {
        const bool written = co_await write_to_caller(std::move(out));
        if (!written)
        {
            co_return attempt_result::caller_left;
        }
        std::size_t n = 0;
        const auto ec = co_await read_part(buf, n);
        if (ec)
        {
            co_return early_end_result(attempt_result::cut);
        }
        out = n == 0 ? std::string{} : framed({buf.data(), n});
    }
    const bool complete = co_await is_complete();
    if (!complete)
    {
        co_return early_end_result(attempt_result::cut);
    }
    out += chunked ? encode_chunk({}) : std::string{};
    const bool written = co_await write_to_caller(std::move(out));
    co_return written ? attempt_result::delivered : attempt_result::caller_left;
}

asio::awaitable<attempt_result> forward_session::relay_stream(const send_step& step)
{
    auto& current = *current_;
    current.events.begin_attempt();
    if (!step.resumes)
    {
        current.weights_version = services_.dialect.weights_version_of(call_->head());
    }
    const bool watched =
        step.first_byte_deadline != time_point::max() || step.progress_timeout.count() != 0;
    event_boundary boundary;
    std::array<char, read_buffer_bytes> buf; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (!call_->done())
    {
        std::size_t n = 0;
        const auto ec = co_await read_part(buf, n);
        auto relayed = relayed_events::none;
        if (n != 0)
        {
            const bool event_ended = boundary.add({buf.data(), n});
            if (event_ended)
            {
                current.flow->on_event(clock::now());
            }
            relayed = co_await relay_events({buf.data(), n});
        }
        if (relayed == relayed_events::failed)
        {
            const auto failed =
                current.flow->response_started() ? attempt_result::cut : attempt_result::broken;
            co_return caller_disconnected_ ? attempt_result::caller_left : failed;
        }
        if (ec)
        {
            const auto result = early_end_result(
                current.flow->response_started() ? attempt_result::cut : attempt_result::broken);
            const bool stalled_mid_response =
                result == attempt_result::stalled && current.flow->response_started();
            co_return stalled_mid_response ? attempt_result::cut : result;
        }
        // Only events count as progress, not the bytes of an event that never ends.
        if (relayed == relayed_events::some && watched)
        {
            start_progress_deadline(step);
        }
    }
    const auto result = co_await end_stream(boundary);
    co_return result;
}

asio::awaitable<attempt_result> forward_session::end_stream(const event_boundary& boundary)
{
    const bool started = current_->flow->response_started();
    const auto incomplete = started ? attempt_result::cut : attempt_result::broken;
    if (!started || boundary.inside_event())
    {
        co_return incomplete;
    }
    const bool complete = co_await is_complete();
    if (!complete)
    {
        co_return early_end_result(incomplete);
    }
    const bool written = co_await write_to_caller(encode_chunk({}));
    co_return written ? attempt_result::delivered : attempt_result::caller_left;
}

asio::awaitable<forward_session::relayed_events>
forward_session::relay_events(std::string_view bytes)
{
    auto& current = *current_;
    const bool resumable = current.flow->request().route->may_resume();
    const auto events = resumable ? current.events.parse(bytes) : std::string{bytes};
    if (current.events.has_gap() || current.events.is_oversized())
    {
        co_return relayed_events::failed;
    }
    if (events.empty())
    {
        co_return relayed_events::none;
    }
    if (current.events.has_unnumbered_event())
    {
        current.flow->on_not_resumable();
    }
    std::string out;
    if (!current.flow->response_started())
    {
        out = begin_response(call_->head(), {true, std::nullopt});
    }
    out += encode_chunk(events);
    const bool written = co_await write_to_caller(std::move(out));
    co_return written ? relayed_events::some : relayed_events::failed;
}

std::string forward_session::begin_response(response_head head, const body_framing& framing)
{
    remove_hop_by_hop_fields(head);
    current_->status = head.result_int();
    current_->first_byte_at = clock::now();
    current_->flow->on_response_started();
    keep_alive_ = keep_alive();
    return serialize_head(head, framing, keep_alive_);
}

} // namespace mangovane

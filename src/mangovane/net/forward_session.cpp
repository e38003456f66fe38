// Session of a caller on routes: flow steps, responses and log events.
#include "mangovane/net/forward_session.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "mangovane/net/caller_connection.hpp"
#include "mangovane/net/caller_request.hpp"
#include "mangovane/net/graceful_close.hpp"
#include "mangovane/net/spawn.hpp"
#include "mangovane/shutdown/cut_request.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;

/// Field of a log line that names the cause of the end; empty while the connection goes on.
std::string cause_text(const std::optional<session_end>& end)
{
    const auto name = end ? descriptor_of(*end).name : std::string_view{};
    return end ? absl::StrCat(" ended_by=", absl::string_view{name.data(), name.size()})
               : std::string{};
}

milliseconds elapsed(time_point from, time_point to)
{
    return std::chrono::duration_cast<milliseconds>(to - from);
}

} // namespace

forward_session::forward_session(asio::ip::tcp::socket socket, forward_services& services)
    : socket_{std::move(socket)}, services_{services}, reader_{socket_, services_.callers},
      write_deadline_{socket_.get_executor()}, call_deadline_{socket_.get_executor()}
{}

asio::awaitable<void> forward_session::run()
{
    error_code ec;
    socket_.set_option(asio::ip::tcp::no_delay{true}, ec);
    socket_.non_blocking(true, ec);
    std::exception_ptr failure;
    try
    {
        co_await serve_requests();
    }
    catch (...)
    {
        failure = std::current_exception();
    }
    if (failure)
    {
        co_await on_failure(failure);
    }
    note_end(session_end::after_response);
    report_end();
    reader_.begin_closing();
    const auto& end = descriptor_of(*end_);
    if (end.graceful)
    {
        const auto give_up_at = clock::now() + services_.timeouts.close_timeout;
        co_await graceful_close(socket_, write_deadline_, give_up_at, end.awaits_receipt,
                                shared_from_this());
    }
    else if (end.awaits_receipt)
    {
        // The caller may not have received the last response of a connection that was kept.
        co_await await_receipt(socket_);
    }
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    socket_.close(ec);
}

asio::awaitable<void> forward_session::serve_requests()
{
    while (keep_alive_)
    {
        const bool read = co_await read_request();
        if (!read)
        {
            break;
        }
        co_await serve();
        current_.reset();
    }
}

asio::awaitable<void> forward_session::on_failure(std::exception_ptr error)
{
    monitor_of(socket_.get_executor()).report("caller_request", error);
    note_end(session_end::failed);
    keep_alive_ = false;
    reader_.stop_deadline();
    call_deadline_.stop();
    if (!current_)
    {
        co_return;
    }
    if (const auto call = std::exchange(call_, nullptr))
    {
        call->close();
    }
    if (current_->flow)
    {
        current_->flow->abandon(clock::now());
        leave_wait();
    }
    if (current_->status != 0)
    {
        record_outcome("cut");
        co_return;
    }
    // Promises nothing about the request, which may have run.
    co_await refuse(error_kind::internal, "the request could not be completed", {});
}

void forward_session::note_end(session_end end)
{
    end_ = end_.value_or(end);
}

void forward_session::report_end()
{
    const auto& end = descriptor_of(*end_);
    services_.observer.on_session_end(end.name);
    const bool unread = reader_.has_unread_bytes();
    if (end.logged || unread)
    {
        services_.log.write(
            absl::StrCat(
                "event=session_ended reason=", absl::string_view{end.name.data(), end.name.size()},
                " requests=", reader_.requests(), " unread=", unread ? 1 : 0),
            clock::now());
    }
}

void forward_session::request_drain()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->reader_.drain(self); });
}

void forward_session::request_eviction()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->reader_.evict(); });
}

void forward_session::request_cut()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->cut(); });
}

void forward_session::cut()
{
    keep_alive_ = false;
    if (!current_ || !current_->flow)
    {
        reader_.cut(shared_from_this());
        return;
    }
    note_end(session_end::stop_cut);
    report_cut();
    current_->flow->on_stop();
    wake();
    if (call_)
    {
        call_->close();
    }
}

void forward_session::report_cut()
{
    const auto schedule = services_.stop.schedule();
    const auto now = clock::now();
    const auto& request = current_->flow->request();
    services_.stop.count_cut();
    services_.log.write_essential(
        log_line({request.request, request.route->name, current_->endpoint_name,
                  current_->flow->attempts(), current_->status,
                  read_after_stop(request.accepted_at, schedule->began_at),
                  elapsed(request.accepted_at, now), elapsed(now, request.deadline)}),
        now);
}

bool forward_session::keep_alive() const
{
    return keep_alive_ && !reader_.draining() && !caller_disconnected_ &&
           !services_.stop.stopping();
}

asio::awaitable<void> forward_session::serve()
{
    auto& current = *current_;
    const auto now = clock::now();
    const auto settings = services_.core.settings();
    if (!settings)
    {
        co_await refuse(error_kind::not_ready, "the instance has not received settings yet",
                        seconds{1});
        co_return;
    }
    auto request = services_.dialect.read(current.held.head.expand(), settings, now);
    if (!request.ok())
    {
        std::string reason{request.status().message()};
        co_await refuse(*kind_of(request.status()), std::move(reason), {});
        co_return;
    }
    const bool admitted = services_.stop.admit(now, request->deadline);
    if (admitted)
    {
        services_.core.on_accepted(*request);
    }
    request->bytes = current.held.head.bytes() + current.held.body->size();
    current.flow.emplace(std::move(*request), services_.core);
    watch_caller();
    auto step = admitted ? current.flow->start(now) : current.flow->refuse_late();
    auto next = step;
    while (co_await execute_step(step, next))
    {
        step = std::move(next);
    }
    // Ends `watch_caller`; no other operation is pending on the socket.
    ++watch_;
    error_code ec;
    socket_.cancel(ec);
}

asio::awaitable<bool> forward_session::execute_step(const forward_step& step, forward_step& next)
{
    auto& current = *current_;
    if (const auto* it = std::get_if<send_step>(&step))
    {
        log_dispatch(*it);
        const auto result = co_await attempt(*it);
        call_.reset();
        log_result(*it, result);
        next = current.flow->on_result(result, clock::now());
        co_return true;
    }
    if (const auto* it = std::get_if<wait_step>(&step))
    {
        auto following = co_await await_turn(*it);
        next = std::move(following);
        co_return true;
    }
    if (std::holds_alternative<relay_error_step>(step))
    {
        const bool written = co_await write_buffered(*current.error_response);
        record_outcome(written ? "passed_on" : "cut");
    }
    else if (const auto* it = std::get_if<refuse_step>(&step))
    {
        log_quarantine(*it);
        log_admission_refusal(*it);
        co_await refuse(it->kind,
                        "operators find the reason in the instance's log under this request id",
                        it->retry_after);
    }
    else if (const auto* it = std::get_if<finish_step>(&step))
    {
        keep_alive_ = keep_alive_ && it->complete;
        if (!it->complete)
        {
            note_end(session_end::response_cut);
        }
        record_outcome(it->complete ? "ok" : "cut");
    }
    co_return false;
}

void forward_session::watch_caller()
{
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [self = shared_from_this(), watch = ++watch_](error_code ec)
                       {
                           if (ec == asio::error::operation_aborted || watch != self->watch_)
                           {
                               return;
                           }
                           const auto socket_state = peek(self->socket_);
                           if (socket_state == peek_result::no_data)
                           {
                               self->watch_caller();
                           }
                           else if (socket_state == peek_result::closed)
                           {
                               self->on_caller_disconnected();
                           }
                       });
}

void forward_session::on_caller_disconnected()
{
    note_end(session_end::caller_left);
    caller_disconnected_ = true;
    wake();
    if (call_)
    {
        call_->close();
    }
}

asio::awaitable<bool> forward_session::write_to_caller(std::string bytes)
{
    const auto started_at = clock::now();
    const bool routed = current_ && current_->flow;
    const auto deadline = routed ? current_->flow->request().deadline : started_at;
    const auto write_deadline =
        routed ? std::max(started_at, deadline) + services_.timeouts.final_write_timeout
               : started_at + services_.timeouts.caller_stall_timeout;
    error_code ec = caller_disconnected_ ? asio::error::broken_pipe : error_code{};
    asio::const_buffer remaining = asio::buffer(bytes);
    auto progress_at = started_at;
    bool writable = true;
    while (!ec && remaining.size() != 0)
    {
        // Most writes fit into the buffer of the socket and need neither a timer nor a suspension.
        const auto n = socket_.write_some(remaining, ec);
        remaining += n;
        if (n != 0)
        {
            progress_at = clock::now();
            writable = true;
        }
        // After an expired deadline one more write shows whether the caller has read meanwhile.
        if (ec == asio::error::would_block && writable)
        {
            ec = {};
            writable = co_await await_writable(write_deadline);
        }
    }
    if (ec == asio::error::would_block)
    {
        on_caller_stall(progress_at);
    }
    if (ec)
    {
        note_end(reader_.end_of_failed_write());
    }
    caller_disconnected_ = caller_disconnected_ || ec;
    keep_alive_ = keep_alive_ && !ec;
    co_return !ec;
}

asio::awaitable<bool> forward_session::await_writable(time_point write_deadline)
{
    const auto never = [] { return false; };
    write_expired_ = false;
    write_deadline_.start(
        std::min(write_deadline, clock::now() + services_.timeouts.caller_stall_timeout), never,
        [self = shared_from_this()]
        {
            self->write_expired_ = true;
            error_code ec;
            self->socket_.cancel(ec);
        });
    // The endpoint is not to blame for a caller that reads slowly.
    call_deadline_.stop();
    error_code ec;
    reader_.begin_stall();
    co_await socket_.async_wait(asio::ip::tcp::socket::wait_write,
                                asio::redirect_error(asio::use_awaitable, ec));
    reader_.end_stall();
    write_deadline_.stop();
    if (call_)
    {
        resume_call_deadline();
    }
    if (write_expired_ && current_->flow)
    {
        watch_caller(); // The expiry has ended the watch too.
    }
    co_return !write_expired_;
}

void forward_session::on_caller_stall(time_point since)
{
    const auto now = clock::now();
    note_end(session_end::write_timeout);
    services_.observer.on_caller_stall();
    services_.log.write(absl::StrCat("event=caller_stalled request=", current_->request_id,
                                     " ms=", elapsed(since, now).count()),
                        now);
}

asio::awaitable<bool> forward_session::write_buffered(const buffered_response& answer)
{
    auto& current = *current_;
    current.status = answer.head.result_int();
    const bool bodiless = current.held.head.method() == http::verb::head ||
                          current.status == no_content || current.status == not_modified;
    const auto length = bodiless ? std::nullopt : std::optional<std::uint64_t>{answer.body.size()};
    keep_alive_ = keep_alive();
    auto bytes = serialize_head(answer.head, {false, length}, keep_alive_);
    bytes += answer.body;
    const bool written = co_await write_to_caller(std::move(bytes));
    co_return written;
}

asio::awaitable<void>
forward_session::refuse(error_kind kind, std::string message, milliseconds retry_after)
{
    const auto& answer = descriptor_of(kind);
    if (!current_->flow)
    {
        services_.observer.on_early_refusal(kind);
    }
    http::response_header<> head;
    head.version(11);
    head.result(answer.http_status);
    head.set(http::field::content_type, "application/json");
    if (retry_after.count() != 0)
    {
        const auto seconds_after = static_cast<double>(retry_after.count()) / 1000;
        head.set(http::field::retry_after, std::string{absl::StrCat(seconds_after)});
    }
    current_->status = answer.http_status;
    const bool bodiless = current_->held.head.method() == http::verb::head;
    const auto body = error_body(kind, message);
    keep_alive_ = keep_alive();
    auto bytes = serialize_head(head, {false, body.size()}, keep_alive_);
    bytes += bodiless ? std::string{} : body;
    co_await write_to_caller(std::move(bytes));
    record_outcome(std::string_view{answer.name});
}

void forward_session::log_quarantine(const refuse_step& step) const
{
    if (!step.verdict)
    {
        return;
    }
    const auto now = clock::now();
    services_.log.write(
        absl::StrCat("event=quarantine_refused request=", current_->flow->request().request,
                     " part=", absl::Hex(step.verdict->part), " crashes=", step.verdict->crashes,
                     " first_crash_ms=", elapsed(step.verdict->first_crash, now).count(),
                     " last_crash_ms=", elapsed(step.verdict->last_crash, now).count()),
        now);
}

void forward_session::record_outcome(std::string_view outcome)
{
    const auto now = clock::now();
    const auto& current = *current_;
    if (!current.flow)
    {
        services_.log.write(absl::StrCat("event=refused request=", current.request_id,
                                         " target=", current.held.head.target(), " outcome=",
                                         absl::string_view{outcome.data(), outcome.size()}),
                            now);
        return;
    }
    const auto& request = current.flow->request();
    request_record record;
    record.account = request.account;
    record.account_name = request.account_name;
    record.service_name = request.route->name;
    record.outcome = std::string{outcome};
    record.total = elapsed(request.accepted_at, now);
    record.first_token = current.first_byte_at == time_point{}
                             ? milliseconds{0}
                             : elapsed(request.accepted_at, current.first_byte_at);
    record.queue_wait = current.dispatched_at == time_point{}
                            ? milliseconds{0}
                            : elapsed(request.accepted_at, current.dispatched_at);
    record.attempts = current.flow->attempts();
    record.has_affinity = request.affinity() != 0;
    services_.observer.on_request_end(record);
    services_.log.write(
        absl::StrCat("event=answered request=", request.request, " route=", request.route->name,
                     " account=", request.account_name, " outcome=", record.outcome,
                     " status=", current.status, " attempts=", record.attempts,
                     " ms=", record.total.count(), " first_ms=", record.first_token.count(),
                     " may_have_run=", current.flow->may_have_run() ? 1 : 0,
                     " settings=", to_log_text(request.settings->stamp.version),
                     record.outcome == "ok" ? std::string{} : cause_text(end_)),
        now);
}

} // namespace mangovane

// Reads requests from a caller's connection, executes the actions of their flows and writes the
// responses.
#include "mangovane/net/caller_session.hpp"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "mangovane/net/graceful_close.hpp"
#include "mangovane/net/http_serialization.hpp"
#include "mangovane/net/request_reader.hpp"
#include "mangovane/net/spawn.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

milliseconds elapsed_since(time_point start)
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - start);
}

} // namespace

caller_session::caller_session(asio::ip::tcp::socket socket, frontend_services& services)
    : socket_{std::move(socket)}, services_{services}, reader_{socket_, services_.callers},
      write_deadline_{socket_.get_executor()}, close_deadline_{socket_.get_executor()}
{}

asio::awaitable<void> caller_session::run()
{
    beast::error_code ec;
    socket_.set_option(asio::ip::tcp::no_delay{true}, ec);
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
    services_.observer.on_session_end(descriptor_of(*end_).name);
    reader_.begin_closing();
    const auto& end = descriptor_of(*end_);
    if (end.graceful)
    {
        const auto give_up_at = clock::now() + services_.limits.close_timeout;
        co_await graceful_close(socket_, close_deadline_, give_up_at, end.awaits_receipt,
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

asio::awaitable<void> caller_session::serve_requests()
{
    while (keep_alive_)
    {
        const bool read = co_await read_request();
        if (!read)
        {
            break;
        }
        keep_alive_ = held_->keep_alive;
        is_head_request_ = held_->head.method() == http::verb::head;
        co_await serve();
        held_.reset();
        idle_ = true;
    }
}

asio::awaitable<void> caller_session::on_failure(std::exception_ptr error)
{
    monitor_of(socket_.get_executor()).report("caller_request", error);
    note_end(session_end::failed);
    keep_alive_ = false;
    reader_.stop_deadline();
    const auto attempt = std::exchange(attempt_, nullptr);
    const bool unrecorded = exchange_ && record_.outcome.empty();
    if (const auto ex = std::exchange(exchange_, nullptr))
    {
        // Returns the endpoint's capacity. An attempt that must not be repeated goes on, so that
        // its outcome can be stored; its response is dropped.
        ex->report(caller_left{});
        if (attempt && request_->routed.idempotent)
        {
            attempt->abort();
        }
    }
    const bool answers = !idle_ && !response_started_;
    if (answers)
    {
        // Promises nothing about the request, which may have run.
        co_await write_error(error_kind::internal, "the request could not be completed");
    }
    if (unrecorded)
    {
        record_outcome(answers ? std::string{descriptor_of(error_kind::internal).name} : "cut");
    }
}

void caller_session::request_drain()
{
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->drain(); });
}

void caller_session::drain()
{
    reader_.drain(shared_from_this());
    const auto schedule = services_.stop.schedule();
    if (exchange_ && schedule && !schedule->admits(clock::now(), request_->routed.deadline))
    {
        exchange_->report(admission_ended{});
    }
}

void caller_session::request_eviction()
{
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->reader_.evict(); });
}

void caller_session::request_cut()
{
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] { self->cut(); });
}

void caller_session::cut()
{
    keep_alive_ = false;
    if (!exchange_)
    {
        reader_.cut(shared_from_this());
        return;
    }
    note_end(session_end::stop_cut);
    report_cut();
    exchange_->report(instance_stopping{});
}

void caller_session::report_cut()
{
    const auto schedule = services_.stop.schedule();
    const auto now = clock::now();
    cut_request cut;
    cut.request = request_->routed.request;
    cut.route = request_->service_name;
    cut.endpoint = attempt_ ? attempt_->address() : std::string{};
    cut.attempts = record_.attempts;
    cut.status = attempt_ && response_started_ ? attempt_->status() : 0;
    cut.read_after = read_after_stop(accepted_at_, schedule->began_at);
    cut.ran = std::chrono::duration_cast<milliseconds>(now - accepted_at_);
    cut.left = std::chrono::duration_cast<milliseconds>(request_->routed.deadline - now);
    services_.stop.count_cut();
    services_.observer.on_request_cut(cut);
}

asio::awaitable<bool> caller_session::await_first_byte()
{
    const auto idle_deadline = clock::now() + services_.limits.callers.idle_timeout;
    const bool begun = co_await reader_.await_first_byte(idle_deadline, shared_from_this());
    if (!begun)
    {
        note_end(reader_.end_of_wait());
    }
    co_return begun;
}

asio::awaitable<bool> caller_session::read_request()
{
    const auto& limits = services_.limits.callers;
    const bool begun = co_await await_first_byte();
    if (!begun)
    {
        co_return false;
    }
    idle_ = false;
    response_started_ = false;
    held_ = std::make_shared<held_request>(reader_.memory());
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
    held_.reset();
    if (failure->end == session_end::stop_cut)
    {
        services_.stop.count_refused();
    }
    if (failure->refusal)
    {
        keep_alive_ = false;
        co_await refuse_early(*failure->refusal, std::move(failure->reason));
    }
    co_return false;
}

asio::awaitable<std::optional<request_failure>> caller_session::receive(const http_limits& limits)
{
    request_reader request{reader_, *held_, limits};
    auto ec = co_await request.read_head();
    ec = ec ? ec : request.hold_head();
    if (!ec)
    {
        ec = co_await request.read_body();
    }
    co_return reader_.failure_of(ec, request.begun());
}

asio::awaitable<void> caller_session::serve()
{
    const auto& target = held_->head.target();
    if (target == "/healthz")
    {
        co_await serve_local(200, "ok\n");
        co_return;
    }
    if (target == "/readyz")
    {
        const bool ready = services_.ready.load();
        const unsigned status = ready ? 200 : 503;
        std::string text = ready ? "ready\n" : "not ready\n";
        co_await serve_local(status, std::move(text));
        co_return;
    }
    if (target == "/metrics")
    {
        co_await serve_local(200, services_.metrics_text());
        co_return;
    }
    const auto settings = services_.core.settings().current();
    if (!settings)
    {
        co_await refuse_early(error_kind::not_ready, "the instance has not received settings yet");
        co_return;
    }
    auto routed = parse_caller_request(held_->head.expand(), *held_->body, *settings, clock::now());
    if (!routed.ok())
    {
        std::string reason{routed.status().message()};
        co_await refuse_early(*kind_of(routed.status()), std::move(reason));
        co_return;
    }
    if (!services_.stop.admit(clock::now(), routed->routed.deadline))
    {
        co_await refuse_early(error_kind::stopping, "the instance stops");
        co_return;
    }
    co_await route(std::move(*routed));
}

asio::awaitable<void> caller_session::serve_local(unsigned status, std::string text)
{
    const auto method = held_->head.method();
    if (method != http::verb::get && method != http::verb::head)
    {
        co_await refuse_early(error_kind::malformed_request,
                              "this path requires the method GET or HEAD");
        co_return;
    }
    co_await write_answer(status, "text/plain; version=0.0.4", std::move(text), 0);
}

asio::awaitable<void> caller_session::route(caller_request req)
{
    accepted_at_ = clock::now();
    record_ = request_record{};
    record_.account = req.routed.account;
    record_.account_name = req.account_name;
    record_.service_name = req.service_name;
    record_.priority = req.routed.priority;
    record_.has_affinity = !req.routed.hint.empty();
    caller_disconnected_ = false;
    request_ = std::move(req);
    exchange_ = std::make_shared<request_exchange>(socket_.get_executor(), services_);
    auto ex = exchange_;
    ex->begin(request_->routed);
    spawn(socket_.get_executor(), "caller_watch", watch_caller(ex));
    for (bool open = true; open;)
    {
        const auto action = co_await ex->next();
        if (const auto* it = std::get_if<send_attempt>(&action))
        {
            start_attempt(*it);
        }
        else if (std::holds_alternative<abort_attempt>(action))
        {
            if (attempt_)
            {
                std::exchange(attempt_, nullptr)->abort();
            }
        }
        else if (const auto* it = std::get_if<answer_error>(&action))
        {
            record_outcome(std::string{descriptor_of(it->kind).name});
            co_await write_error(it->kind, it->message);
            open = false;
        }
        else if (const auto* it = std::get_if<answer_stored>(&action))
        {
            record_outcome("stored");
            co_await write_answer(it->outcome.http_status, it->outcome.content_type,
                                  it->outcome.body, 0);
            open = false;
        }
        else if (const auto* it = std::get_if<end_request>(&action))
        {
            record_outcome(it->complete ? "ok" : "cut");
            if (!it->complete)
            {
                note_end(session_end::response_cut);
            }
            keep_alive_ = keep_alive_ && it->complete && !caller_disconnected_;
            open = false;
        }
    }
    ex->close();
    exchange_.reset();
    attempt_.reset();
    // Ends `watch_caller`; no other operation is pending on the socket.
    beast::error_code ec;
    socket_.cancel(ec);
}

asio::awaitable<void> caller_session::watch_caller(std::shared_ptr<request_exchange> ex)
{
    auto self = shared_from_this();
    auto socket_state = peek_result::no_data;
    while (socket_state == peek_result::no_data)
    {
        beast::error_code ec;
        co_await socket_.async_wait(asio::ip::tcp::socket::wait_read,
                                    asio::redirect_error(asio::use_awaitable, ec));
        if (ec || exchange_ != ex)
        {
            co_return;
        }
        socket_state = peek(socket_);
    }
    if (socket_state == peek_result::closed)
    {
        on_caller_disconnected();
    }
}

void caller_session::start_attempt(const send_attempt& action)
{
    attempt_parameters params;
    params.action = action;
    params.request = held_;
    params.target = request_->endpoint_target;
    params.head_only = is_head_request_;
    params.idempotent = request_->routed.idempotent;
    params.store_response = !request_->routed.key.empty();
    keep_alive_ = keep_alive_ && !reader_.draining() && !services_.stop.stopping();
    params.keep_alive = keep_alive_;
    params.deadline = request_->routed.deadline;
    if (!request_->routed.chat.empty())
    {
        params.affinity = encode_affinity(chat_locations{{action.endpoint, endpoint_id{}}});
    }
    record_.queue_wait = elapsed_since(accepted_at_);
    ++record_.attempts;
    record_.affinity_kept = action.endpoint == request_->routed.hint.endpoints.front();
    auto attempt = std::make_shared<endpoint_attempt>(socket_.get_executor(), std::move(params),
                                                      *this, services_);
    attempt_ = attempt;
    spawn(
        socket_.get_executor(), "endpoint_attempt",
        [](std::shared_ptr<caller_session> self, std::shared_ptr<request_exchange> ex,
           std::shared_ptr<endpoint_attempt> attempt) -> asio::awaitable<void>
        {
            const auto ended = co_await attempt->run();
            if (attempt->attempt_mismatch() || self->attempt_ != attempt)
            {
                self->services_.observer.on_dropped_answer();
            }
            ex->report(ended);
        }(shared_from_this(), exchange_, attempt),
        [ex = exchange_, attempt](bool failed)
        {
            if (failed)
            {
                attempt->abort();
                ex->report(attempt->result());
            }
        });
}

bool caller_session::is_current(const attempt_id& attempt) const
{
    return attempt_ && attempt_->id() == attempt;
}

bool caller_session::on_answer_started(const attempt_id& attempt)
{
    record_.first_token = elapsed_since(accepted_at_);
    return exchange_->report(attempt_answered{attempt});
}

asio::awaitable<bool> caller_session::write_to_caller(asio::const_buffer buf)
{
    if (caller_disconnected_)
    {
        co_return false;
    }
    response_started_ = true;
    write_deadline_.start(
        clock::now() + services_.limits.write_timeout,
        [self = shared_from_this()] { return is_writable(self->socket_); },
        [self = shared_from_this()]
        {
            self->note_end(session_end::write_timeout);
            beast::error_code ec;
            self->socket_.close(ec);
        });
    beast::error_code ec;
    reader_.begin_stall();
    co_await asio::async_write(socket_, buf, asio::redirect_error(asio::use_awaitable, ec));
    reader_.end_stall();
    write_deadline_.stop();
    if (ec)
    {
        note_end(reader_.end_of_failed_write());
        keep_alive_ = false;
        on_caller_disconnected();
    }
    co_return !ec;
}

void caller_session::on_caller_disconnected()
{
    note_end(session_end::caller_left);
    if (!std::exchange(caller_disconnected_, true) && exchange_)
    {
        exchange_->report(caller_left{});
    }
}

void caller_session::record_outcome(std::string outcome)
{
    record_.outcome = std::move(outcome);
    record_.total = elapsed_since(accepted_at_);
    services_.observer.on_request_end(record_);
}

asio::awaitable<void> caller_session::refuse_early(error_kind kind, std::string message)
{
    services_.observer.on_early_refusal(kind);
    co_await write_error(kind, std::move(message));
}

asio::awaitable<void> caller_session::write_error(error_kind kind, std::string message)
{
    const auto& answer = descriptor_of(kind);
    co_await write_answer(answer.http_status, "application/json", error_body(kind, message),
                          answer.retry_after_s);
}

asio::awaitable<void> caller_session::write_answer(unsigned status,
                                                   std::string type,
                                                   std::string body,
                                                   std::uint32_t retry_after_s)
{
    http::response_header<> head;
    head.version(11);
    head.result(status);
    head.set(http::field::content_type, type);
    if (retry_after_s != 0)
    {
        head.set(http::field::retry_after, std::to_string(retry_after_s));
    }
    keep_alive_ =
        keep_alive_ && !reader_.draining() && !services_.stop.stopping() && !caller_disconnected_;
    const bool has_length =
        head.result() != http::status::no_content && head.result() != http::status::not_modified;
    const auto length = has_length ? std::optional<std::uint64_t>{body.size()} : std::nullopt;
    auto text = serialize_head(head, {false, length}, keep_alive_);
    text += is_head_request_ ? std::string{} : body;
    co_await write_to_caller(asio::buffer(text));
}

} // namespace mangovane

// Session of a caller on routes: attempts at endpoints, their timers and log events.
#include <algorithm>
#include <array>
#include <utility>

#include <absl/strings/str_cat.h>

#include "mangovane/net/crash_check.hpp"
#include "mangovane/net/forward_session.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace
{

constexpr std::array<std::string_view, attempt_result_count> result_names{
    "delivered", "not_sent", "refused",   "misdirected", "error",    "broken", "crashed",
    "stalled",   "cut",      "timed_out", "caller_left", "outdated", "stopped"};

/// Category and value of an error, such as `beast.http:9`; "none" for no error.
std::string error_text(const boost::system::error_code& ec)
{
    return ec ? absl::StrCat(ec.category().name(), ":", ec.value()) : std::string{"none"};
}

/// Id of the last event that the caller has received; "none" before the first one.
std::string event_text(std::optional<std::uint64_t> id)
{
    return id ? absl::StrCat(*id) : std::string{"none"};
}

/// Time until another endpoint is looked for again for an attempt that has stalled.
constexpr milliseconds stall_check_interval{200};

} // namespace

void forward_session::start_call_deadline(time_point at)
{
    call_timeout_at_ = at;
    call_deadline_.start(
        at, [call = call_] { return call->has_arrived(); },
        [self = shared_from_this()] { self->on_call_deadline(); });
}

void forward_session::resume_call_deadline()
{
    // Each start can be put off. Past the end of the request there is nothing to wait for.
    if (clock::now() >= current_->flow->request().deadline + arrival_grace)
    {
        on_call_deadline();
        return;
    }
    start_call_deadline(call_timeout_at_);
}

void forward_session::start_progress_deadline(const send_step& step)
{
    const auto deadline = current_->flow->request().deadline;
    const auto timeout = step.progress_timeout;
    const auto at = timeout.count() == 0 ? deadline : std::min(deadline, clock::now() + timeout);
    // The deadline of the request is put off only once, however often data arrives.
    if (at != call_timeout_at_)
    {
        start_call_deadline(at);
    }
}

void forward_session::on_call_deadline()
{
    if (!call_)
    {
        return;
    }
    const auto now = clock::now();
    auto& flow = *current_->flow;
    const auto deadline = flow.request().deadline;
    if (now < deadline && !flow.prepare_replacement(now))
    {
        start_call_deadline(std::min<time_point>(deadline, now + stall_check_interval));
        return;
    }
    timed_out_ = true;
    call_->close();
}

attempt_result forward_session::early_end_result(attempt_result fallback) const
{
    if (caller_disconnected_)
    {
        return attempt_result::caller_left;
    }
    if (current_->flow->stopping())
    {
        return attempt_result::stopped;
    }
    if (!timed_out_)
    {
        return fallback;
    }
    const bool deadline_passed = clock::now() >= current_->flow->request().deadline;
    return deadline_passed ? attempt_result::timed_out : attempt_result::stalled;
}

std::string forward_session::upstream_head_text(const send_step& step) const
{
    const auto& current = *current_;
    std::optional<resume_point> resume;
    if (step.resumes && current.events.last_id())
    {
        resume = resume_point{*current.events.last_id(), current.weights_version};
    }
    auto received = current.held.head.expand();
    remove_hop_by_hop_fields(received);
    const auto head = services_.dialect.write(std::move(received), current.flow->request(), step,
                                              resume, clock::now());
    const auto framing = framing_of(current.held.head.method(), current.held.body->size());
    return serialize_head(head, framing, false);
}

asio::awaitable<attempt_result> forward_session::attempt(const send_step& step)
{
    auto& current = *current_;
    const auto now = clock::now();
    const auto deadline = current.flow->request().deadline;
    current.dispatched_at = now;
    current.endpoint_name = step.target.name;
    current.error_response.reset();
    current.endpoint_error = {};
    timed_out_ = false;
    end_verdict_.reset();
    current.endpoint = step.target.endpoint;
    current.epoch = step.target.epoch;
    auto call = std::make_shared<upstream_call>(socket_.get_executor(), services_.connections,
                                                services_.liveness);
    call_ = call;
    // Closing the connection on this timeout is safe to retry: nothing has been sent yet.
    call_deadline_.start(
        std::min(deadline, now + services_.timeouts.connect_timeout),
        [call] { return call->is_connected(); },
        [call, self = shared_from_this()] { call->close(); });
    const bool connected = co_await call->connect(step.target.address);
    call_deadline_.stop();
    if (!connected || caller_disconnected_)
    {
        call->close();
        const auto unsent =
            current.flow->stopping() ? attempt_result::outdated : attempt_result::not_sent;
        co_return caller_disconnected_ ? attempt_result::caller_left : unsent;
    }
    if (clock::now() > std::min(deadline, step.send_deadline))
    {
        call->close();
        co_return attempt_result::outdated;
    }
    call->send(upstream_head_text(step), current.held.body);
    start_call_deadline(std::min(deadline, step.first_byte_deadline));
    const auto result = co_await read_answer(step);
    call_deadline_.stop();
    const bool ended_early = result == attempt_result::broken || result == attempt_result::cut;
    if (ended_early)
    {
        call->watched().keep_state();
    }
    call->close();
    if (!ended_early || timed_out_ || current.flow->survived())
    {
        co_return result;
    }
    const auto verdict = co_await check_end();
    co_return verdict.crashed ? attempt_result::crashed : result;
}

asio::awaitable<end_verdict> forward_session::check_end()
{
    if (end_verdict_)
    {
        co_return *end_verdict_;
    }
    const auto schedule = services_.stop.schedule();
    const auto give_up_at = schedule ? schedule->cut_at : time_point::max();
    const auto serves_until = services_.core.serves_until(current_->endpoint, current_->epoch);
    end_verdict_ =
        co_await call_->watched().check(services_.timeouts.crash_check, serves_until, give_up_at);
    log_end(*end_verdict_);
    co_return *end_verdict_;
}

asio::awaitable<attempt_result> forward_session::read_answer(const send_step& step)
{
    auto& current = *current_;
    const bool head_only = current.held.head.method() == http::verb::head;
    current.endpoint_error = co_await call_->read_head(head_only);
    if (current.endpoint_error)
    {
        co_return early_end_result(attempt_result::broken);
    }
    const auto& request = current.flow->request();
    const auto meaning = services_.dialect.classify(call_->head(), request);
    // A response from another endpoint than the one addressed says nothing about the latter.
    if (meaning != response_class::wrong_endpoint)
    {
        note_endpoint(step);
    }
    switch (meaning)
    {
    case response_class::no_capacity:
        co_return attempt_result::refused;
    case response_class::wrong_endpoint:
        co_return attempt_result::misdirected;
    case response_class::invalid_response:
        co_return attempt_result::broken;
    case response_class::failure: {
        const auto result = co_await read_failure();
        co_return result;
    }
    case response_class::pass_through:
        break;
    }
    const bool success =
        http::to_status_class(call_->head().result()) == http::status_class::successful;
    if (current.flow->response_started() && !success)
    {
        // The caller's response is a stream that has begun, and cannot become an error.
        co_return attempt_result::broken;
    }
    const bool stream = request.route->kind == route_kind::stream && !head_only && success;
    // Two statements, because some compilers destroy the awaited object of a conditional expression
    // too early.
    if (stream)
    {
        const auto result = co_await relay_stream(step);
        co_return result;
    }
    const auto result = co_await relay_buffered(step);
    co_return result;
}

void forward_session::note_endpoint(const send_step& step)
{
    const auto now = clock::now();
    const auto notice = services_.dialect.notice_of(call_->head(), now);
    if (notice == endpoint_notice{})
    {
        return;
    }
    services_.core.on_notice(step.target, notice, now);
    if (!notice.closing())
    {
        return;
    }
    services_.log.write(
        absl::StrCat("event=endpoint_notice request=", current_->flow->request().request,
                     " endpoint=", step.target.name, " leaving=", notice.leaving ? 1 : 0,
                     " closed_ms=", remaining_ms(notice.closed_until, now)),
        now);
}

void forward_session::log_dispatch(const send_step& step) const
{
    const auto& request = current_->flow->request();
    services_.log.write(
        absl::StrCat(
            "event=dispatch request=", request.request, " route=", request.route->name,
            " attempt=", step.attempt, " endpoint=", step.target.name, " load=", step.target.load,
            " allowed=", step.target.load_limit, " options=", step.target.eligible_endpoints,
            " affinity=", absl::Hex(request.affinity()),
            " parts=", part_ids_text(request.shared_parts()),
            " prefix_source=", step.target.prefix_source, " resumes=", step.resumes ? 1 : 0,
            " last_event=", event_text(current_->events.last_id()), " settings=",
            to_log_text(step.target.settings_version), " estimate=", step.target.known.estimate(),
            " age_ms=", std::chrono::duration_cast<milliseconds>(step.target.known.age).count(),
            " speed=", step.target.known.speed),
        clock::now());
}

void forward_session::log_end(const end_verdict& verdict) const
{
    const auto now = clock::now();
    const auto reason = name_of(verdict.reason);
    const auto age =
        std::chrono::duration_cast<milliseconds>(now - call_->watched().ended_at()).count();
    services_.log.write(
        absl::StrCat("event=response_end request=", current_->flow->request().request,
                     " endpoint=", current_->endpoint_name, " complete=", verdict.complete ? 1 : 0,
                     " crashed=", verdict.crashed ? 1 : 0,
                     " reason=", absl::string_view{reason.data(), reason.size()}, " age_ms=", age),
        now);
}

void forward_session::log_result(const send_step& step, attempt_result result) const
{
    if (result == attempt_result::delivered)
    {
        return; // Reported by the `answered` event.
    }
    const auto name = result_names[static_cast<std::size_t>(result)];
    const auto now = clock::now();
    services_.observer.on_failed_attempt(name);
    const auto time = std::chrono::duration_cast<milliseconds>(now - current_->dispatched_at);
    services_.log.write(
        absl::StrCat("event=attempt_ended request=", current_->flow->request().request,
                     " attempt=", step.attempt, " endpoint=", step.target.name,
                     " result=", absl::string_view{name.data(), name.size()}, " ms=", time.count(),
                     " answered=", current_->flow->answered() ? 1 : 0,
                     " last_event=", event_text(current_->events.last_id()),
                     " unfinished=", current_->events.unfinished_bytes(),
                     " parts=", part_ids_text(current_->flow->request().shared_parts()),
                     " prompt=", absl::Hex(current_->flow->request().identity().whole),
                     " error=", error_text(current_->endpoint_error)),
        now);
}

} // namespace mangovane

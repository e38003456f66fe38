// Implementation of the stand-in for an endpoint of the platform.
#include "standin/fleet_engine.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "mangovane/core/hash.hpp"

namespace mangovane::standin
{

namespace asio = boost::asio;

namespace
{

std::string field(const request& req, const char* name)
{
    const auto it = req[name];
    return {it.data(), it.size()};
}

std::uint32_t number(const std::string& text)
{
    return text.empty() ? 0 : static_cast<std::uint32_t>(std::stoul(text));
}

std::string event_text(const std::string& request, std::uint32_t number)
{
    return absl::StrCat("id: ", number, "\ndata: ", request, "-", number, "\n\n");
}

asio::awaitable<void> write_part(reply& rep, std::string bytes, bool chunked)
{
    if (chunked)
    {
        co_await rep.chunk(std::move(bytes));
    }
    else
    {
        co_await rep.raw(std::move(bytes));
    }
}

/// Prefix of the control path `/standin/fault/KIND/COUNT`.
constexpr std::string_view fault_path = "/standin/fault/";

} // namespace

void fleet_engine::set_fault(engine_fault fault, std::uint32_t count)
{
    const std::lock_guard lock{mutex_};
    fault_ = fault;
    fault_count_ = count;
}

engine_fault fleet_engine::consume_fault()
{
    const std::lock_guard lock{mutex_};
    if (fault_count_ == 0)
    {
        return engine_fault::none;
    }
    --fault_count_;
    return fault_;
}

engine_fault fleet_engine::fault_of(const request& req)
{
    const auto result = consume_fault();
    const bool fails = result == engine_fault::none && behaviour_.fails &&
                       behaviour_.fails(field(req, "X-Attempt-Id"));
    return fails ? engine_fault::error : result;
}

std::vector<engine_run> fleet_engine::runs() const
{
    const std::lock_guard lock{mutex_};
    return runs_;
}

std::size_t fleet_engine::record(const request& req)
{
    const std::lock_guard lock{mutex_};
    runs_.push_back({field(req, "X-Attempt-Id"), std::string{req.target()}, req.body(),
                     field(req, "X-Tenant"), field(req, "X-Request-Priority"),
                     field(req, "Kv-Fetch"), field(req, "Last-Event-ID"),
                     req.count("Authorization") != 0, number(field(req, "X-Deadline-Ms")),
                     std::chrono::steady_clock::now()});
    return runs_.size() - 1;
}

void fleet_engine::record_end(std::size_t run)
{
    const std::lock_guard lock{mutex_};
    runs_[run].ended_at = std::chrono::steady_clock::now();
}

engine_work fleet_engine::work_of(const request& req) const
{
    return behaviour_.work_of ? behaviour_.work_of(field(req, "X-Attempt-Id")) : behaviour_.work;
}

bool fleet_engine::ends_with_connection(const request& req) const
{
    return behaviour_.ends_with_connection &&
           behaviour_.ends_with_connection(field(req, "X-Attempt-Id"));
}

asio::awaitable<void> fleet_engine::stream(const request& req, reply& rep, bool cut)
{
    const bool chunked = !ends_with_connection(req);
    if (chunked)
    {
        co_await rep.start_chunks(200, "text/event-stream", {});
    }
    else
    {
        co_await rep.start_until_close(200, "text/event-stream");
    }
    const auto first = number(field(req, "Last-Event-ID")) + 1;
    const auto work = work_of(req);
    const auto cut_event = std::min(first + 2, work.events);
    for (auto n = first; n <= work.events && rep.open(); ++n)
    {
        const auto event = event_text(field(req, "X-Attempt-Id"), n);
        if (cut && n == cut_event)
        {
            co_await write_part(rep, event.substr(0, event.size() / 2), chunked);
            break;
        }
        co_await write_part(rep, event, chunked);
        co_await rep.pause_while_connected(work.event_interval);
    }
    if (cut)
    {
        co_await rep.pause(work.event_interval);
        rep.reset();
    }
    else if (rep.open() && chunked)
    {
        co_await rep.end_chunks();
    }
    else if (rep.open())
    {
        co_await rep.close();
    }
}

asio::awaitable<void> fleet_engine::break_off(const request& req, reply& rep)
{
    const auto id = field(req, "X-Attempt-Id");
    std::string events;
    const auto work = work_of(req);
    for (auto n = number(field(req, "Last-Event-ID")) + 1; n <= work.events; ++n)
    {
        events += event_text(id, n);
    }
    const auto choice = hash_bytes(id);
    events.resize(choice % (events.size() + 1));
    co_await rep.start_chunks(200, "text/event-stream", {});
    if (!events.empty())
    {
        co_await rep.chunk(events);
    }
    co_await rep.pause(work.event_interval);
    // Between two events, an end that looks complete cannot be told from the real one.
    const bool inside_event = !events.empty() && !events.ends_with("\n\n");
    const auto kind = choice / 1024 % 3;
    if (kind == 0 && inside_event && req.count("X-Prefix-Hash") != 0)
    {
        co_await rep.end_chunks();
    }
    else if (kind == 1)
    {
        co_await rep.close();
    }
    else
    {
        rep.reset();
    }
}

asio::awaitable<void> fleet_engine::apply_fault(engine_fault fault, const request& req, reply& rep)
{
    switch (fault)
    {
    case engine_fault::hang:
        co_await rep.pause(std::chrono::minutes{10});
        break;
    case engine_fault::reset:
        rep.reset();
        break;
    case engine_fault::malformed:
        co_await rep.raw("this is no answer\r\n\r\n");
        rep.reset();
        break;
    case engine_fault::error:
        co_await rep.send(500, "failed");
        break;
    case engine_fault::ambiguous:
        co_await rep.send(503, "vague");
        break;
    case engine_fault::break_off:
        co_await break_off(req, rep);
        break;
    default:
        co_await stream(req, rep, true);
        break;
    }
}

asio::awaitable<void> fleet_engine::control(const request& req, reply& rep)
{
    const std::string target{req.target()};
    if (target.starts_with(fault_path))
    {
        const auto rest = target.substr(fault_path.size());
        const auto slash = rest.find('/');
        set_fault(static_cast<engine_fault>(number(rest.substr(0, slash))),
                  number(rest.substr(slash + 1)));
        co_await rep.send(200, "{}");
        co_return;
    }
    std::string lines;
    for (const auto& it : runs())
    {
        absl::StrAppend(&lines, it.request, " ", it.target, " ", it.account, " ",
                        it.had_key ? "key" : "-", "\n");
    }
    co_await rep.send(200, lines, "text/plain");
}

void fleet_engine::add_signature(engine_fault fault, const request& req, reply& rep) const
{
    rep.add_field("X-Attempt-Id", fault == engine_fault::wrong_attempt_id
                                      ? std::string{"another"}
                                      : field(req, "X-Attempt-Id"));
    if (fault != engine_fault::unsigned_answer)
    {
        rep.add_field("X-Server-Signature", absl::StrCat("signed-by-", behaviour_.name));
    }
}

asio::awaitable<void> fleet_engine::handle(const request& req, reply& rep)
{
    if (req.target().starts_with("/standin/"))
    {
        co_await control(req, rep);
        co_return;
    }
    const auto wanted = field(req, "X-Expect-Instance");
    if (!wanted.empty() && wanted != behaviour_.name)
    {
        rep.add_field("X-Instance-Id", behaviour_.name);
        co_await rep.send(421, "{}");
        co_return;
    }
    const auto fault = fault_of(req);
    if (fault == engine_fault::full)
    {
        rep.add_field("X-Not-Executed", "1");
        co_await rep.send(503, "{}");
        co_return;
    }
    const auto run = record(req);
    add_signature(fault, req, rep);
    co_await respond(fault, req, rep);
    record_end(run);
}

asio::awaitable<void> fleet_engine::respond(engine_fault fault, const request& req, reply& rep)
{
    const bool responds = fault == engine_fault::none || fault == engine_fault::wrong_attempt_id ||
                          fault == engine_fault::unsigned_answer;
    co_await rep.pause_while_connected(work_of(req).delay);
    if (!rep.open())
    {
        co_return;
    }
    if (!responds)
    {
        co_await apply_fault(fault, req, rep);
    }
    else if (req.count("X-Prefix-Hash") != 0)
    {
        co_await stream(req, rep, false);
    }
    else
    {
        co_await rep.send(200, absl::StrCat("done ", field(req, "X-Attempt-Id")));
    }
}

} // namespace mangovane::standin

// Implementation of the plain service stand-in.
#include "standin/service.hpp"

#include <array>
#include <chrono>

#include <boost/json.hpp>

#include "mangovane/core/time.hpp"
#include "mangovane/net/caller_request.hpp"
#include "standin/support.hpp"

namespace mangovane::standin
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace
{

using faults = service_faults;

constexpr std::array fault_entries{fault_entry<faults>{"down", &faults::down},
                                   fault_entry<faults>{"cut", &faults::cut},
                                   fault_entry<faults>{"refuse", &faults::refuse},
                                   fault_entry<faults>{"leaving", &faults::leaving},
                                   fault_entry<faults>{"slow_ms", &faults::slow_ms}};

bool has_effect(const request& req)
{
    return req.method() == http::verb::post &&
           (req.target() == "/grants" || req.target() == "/pledges");
}

bool is_read(const request& req)
{
    return req.method() == http::verb::get || req.method() == http::verb::head;
}

/// Field `id` of the body; empty if missing.
std::string id_of(const std::string& body)
{
    boost::system::error_code ec;
    const auto value = json::parse(body, ec);
    const auto* obj = ec ? nullptr : value.if_object();
    const auto* id = obj == nullptr ? nullptr : obj->if_contains("id");
    if (id == nullptr)
    {
        return {};
    }
    return id->is_string() ? json::value_to<std::string>(*id) : json::serialize(*id);
}

} // namespace

service::service()
    : epoch_{static_cast<incarnation>(std::chrono::duration_cast<milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count())}
{}

asio::awaitable<void> service::handle(const request& req, reply& rep)
{
    const auto attempt = req.find(header::attempt);
    if (attempt != req.end())
    {
        rep.set_attempt(std::string{attempt->value()});
    }
    if (req.target() == "/fault")
    {
        const unsigned status = change_fault(req.body()) ? 200 : 400;
        co_await rep.send(status, "{}");
    }
    else if (req.target() == "/runs")
    {
        co_await rep.send(200, runs_text());
    }
    else if (faults_.down)
    {
        rep.reset();
    }
    else if (req.target() == "/mangovane/load")
    {
        co_await rep.send(200, load_text());
    }
    else
    {
        ++in_flight_;
        co_await serve_call(req, rep);
        --in_flight_;
    }
}

asio::awaitable<void> service::serve_call(const request& req, reply& rep)
{
    if (faults_.refuse)
    {
        co_await rep.send(503, R"({"error":"refused"})");
        co_return;
    }
    if (!has_effect(req) && !is_read(req))
    {
        co_await rep.send(404, R"({"error":"no such path"})");
        co_return;
    }
    const auto text = has_effect(req) ? run(req.body()) : std::string{R"({"status":"ok"})"};
    co_await pause_for(milliseconds{faults_.slow_ms});
    if (faults_.cut)
    {
        rep.reset();
        co_return;
    }
    const unsigned status = text.empty() ? 400 : 200;
    co_await rep.send(status, text);
}

std::string service::run(const std::string& body)
{
    const auto id = id_of(body);
    if (id.empty())
    {
        return {};
    }
    const auto n = ++runs_[id];
    return json::serialize(json::object{{"id", id}, {"run", n}});
}

bool service::change_fault(const std::string& text)
{
    return change_faults<faults>(faults_, fault_entries, text);
}

std::string service::load_text() const
{
    return json::serialize(json::object{{"epoch", epoch_},
                                        {"in_flight", in_flight_},
                                        {"warm", true},
                                        {"leaving", faults_.leaving}});
}

std::string service::runs_text() const
{
    json::object runs;
    for (const auto& [id, n] : runs_)
    {
        runs[id] = n;
    }
    return json::serialize(json::object{{"runs", std::move(runs)}});
}

} // namespace mangovane::standin

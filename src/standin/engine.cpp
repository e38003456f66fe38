// Implementation of the model engine stand-in.
#include "standin/engine.hpp"

#include <algorithm>
#include <array>
#include <chrono>

#include <absl/strings/str_cat.h>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "mangovane/net/caller_request.hpp"

namespace mangovane::standin
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

asio::awaitable<void> sleep_for(milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

std::string field(const request& req, const char* name)
{
    const auto it = req.find(name);
    return it == req.end() ? std::string{} : std::string{it->value()};
}

incarnation unix_ms()
{
    return static_cast<incarnation>(std::chrono::duration_cast<milliseconds>(
                                        std::chrono::system_clock::now().time_since_epoch())
                                        .count());
}

/// Counts a request as in flight during its lifetime.
class in_flight_guard
{
public:
    in_flight_guard(std::uint32_t& count, std::uint32_t& highest) : count_{count}
    {
        highest = std::max(highest, ++count_);
    }
    ~in_flight_guard() { --count_; }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;

private:
    std::uint32_t& count_;
};

std::string delta_text(const std::string& token)
{
    const json::object delta{
        {"choices", json::array{json::object{{"delta", json::object{{"content", token}}}}}}};
    return absl::StrCat("data: ", json::serialize(delta), "\n\n");
}

std::string message_text(const std::string& content)
{
    const json::object message{{"role", "assistant"}, {"content", content}};
    return json::serialize(
        json::object{{"choices", json::array{json::object{{"message", message}}}}});
}

/// Name of a fault in `POST /fault` and its member.
struct fault_row
{
    std::string_view name;
    bool engine_behaviour::*member;
};

constexpr std::array fault_rows{
    fault_row{"down", &engine_behaviour::down}, fault_row{"slow", &engine_behaviour::slow},
    fault_row{"crossed", &engine_behaviour::crossed}, fault_row{"cut", &engine_behaviour::cut},
    fault_row{"leaving", &engine_behaviour::leaving}};

} // namespace

engine::engine(engine_behaviour behaviour) : behaviour_{behaviour}, epoch_{unix_ms()} {}

bool engine::use_cached_prefix(const std::string& chat)
{
    const auto it = cached_.find(chat);
    const bool hit = it != cached_.end();
    if (hit)
    {
        recent_.erase(it->second);
    }
    recent_.push_front(chat);
    cached_[chat] = recent_.begin();
    if (recent_.size() > behaviour_.cached_chats)
    {
        cached_.erase(recent_.back());
        recent_.pop_back();
    }
    return hit;
}

asio::awaitable<void> engine::handle(const request& req, reply& rep)
{
    rep.set_attempt(field(req, header::attempt));
    if (req.target() == "/fault")
    {
        co_await change_fault(req, rep);
    }
    else if (behaviour_.down)
    {
        rep.reset();
    }
    else if (req.target() == "/mangovane/load")
    {
        co_await rep.send(200, load_text());
    }
    else if (req.target() == "/v1/chat/completions")
    {
        co_await complete(req, rep);
    }
    else
    {
        co_await rep.send(404, "{}");
    }
}

std::string engine::load_text() const
{
    return json::serialize(json::object{{"epoch", epoch_},
                                        {"in_flight", in_flight_},
                                        {"max_in_flight", max_in_flight_},
                                        {"warm", !cold()},
                                        {"leaving", behaviour_.leaving},
                                        {"total", total_},
                                        {"hits", hits_},
                                        {"refused", refused_}});
}

asio::awaitable<void> engine::complete(const request& req, reply& rep)
{
    const auto limit = cold() ? behaviour_.cold_capacity : behaviour_.capacity;
    if (in_flight_ >= limit)
    {
        ++refused_;
        co_await rep.send(503, R"({"error":"overloaded"})");
        co_return;
    }
    const in_flight_guard guard{in_flight_, max_in_flight_};
    auto chat = field(req, header::chat);
    const bool cached = !chat.empty() && use_cached_prefix(chat);
    ++total_;
    hits_ += cached ? 1U : 0U;
    co_await stream(req, rep, cached);
    ++served_;
}

asio::awaitable<void> engine::stream(const request& req, reply& rep, bool cached)
{
    boost::system::error_code ec;
    const auto body = json::parse(req.body(), ec);
    const bool streamed =
        !ec && body.is_object() && body.as_object().contains("stream") && body.at("stream") == true;
    const auto factor = behaviour_.slow ? 10 : 1;
    const auto attempt = behaviour_.crossed ? std::string{"other"} : field(req, header::attempt);
    const auto first_token = cached ? behaviour_.first_token : behaviour_.uncached_first_token;
    co_await sleep_for(factor * first_token);
    std::string whole;
    if (streamed)
    {
        co_await rep.start_chunks(200, "text/event-stream", attempt);
    }
    for (std::uint32_t n = 0; n != behaviour_.tokens && rep.open(); ++n)
    {
        const auto token = absl::StrCat("t", n, " ");
        whole += token;
        if (behaviour_.cut && n == behaviour_.tokens / 2)
        {
            rep.reset();
            co_return;
        }
        if (streamed)
        {
            co_await rep.chunk(delta_text(token));
        }
        co_await sleep_for(factor * behaviour_.token_interval);
    }
    if (streamed)
    {
        co_await rep.chunk("data: [DONE]\n\n");
        co_await rep.end_chunks();
        co_return;
    }
    rep.set_attempt(attempt);
    co_await rep.send(200, message_text(whole));
}

asio::awaitable<void> engine::change_fault(const request& req, reply& rep)
{
    boost::system::error_code ec;
    const auto value = json::parse(req.body(), ec);
    if (ec || !value.is_object())
    {
        co_await rep.send(400, R"({"error":"not a JSON object"})");
        co_return;
    }
    const auto& obj = value.as_object();
    for (const auto& it : fault_rows)
    {
        const auto* found = obj.if_contains({it.name.data(), it.name.size()});
        if (found != nullptr && found->is_bool())
        {
            behaviour_.*it.member = found->as_bool();
        }
    }
    if (obj.contains("cold"))
    {
        served_ = 0;
        recent_.clear();
        cached_.clear();
    }
    if (obj.contains("restart"))
    {
        epoch_ = unix_ms();
        served_ = 0;
        recent_.clear();
        cached_.clear();
    }
    co_await rep.send(200, load_text());
}

} // namespace mangovane::standin

// Implementation of the caller.
#include "soak/caller.hpp"

#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "mangovane/net/address.hpp"
#include "soak/call_text.hpp"

namespace mangovane::soak
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

constexpr milliseconds connect_limit{1000};
constexpr milliseconds answer_limit{6000}; ///< Well over the deadline that the request names.
constexpr milliseconds probe_period{150};
constexpr milliseconds pause_after_failure{100};
constexpr std::size_t longest_pause_ms = 120;
constexpr std::size_t calls_per_connection = 25;
constexpr std::size_t chat_count = 40;

/// One call in so many is given up by its caller after a short time.
constexpr std::size_t impatient_share = 25;
constexpr std::size_t longest_patience_ms = 150;

http::request<http::string_body> message_of(const call_record& record, std::size_t chat)
{
    const auto body = body_of(record.request);
    http::request<http::string_body> result{body.empty() ? http::verb::get : http::verb::post,
                                            target_of(record.request), 11};
    result.set(http::field::host, "desk.example");
    result.set("X-Attempt-Id", record.request);
    result.set("X-Deadline-Ms", "2500");
    result.set("X-Tenant", "forged");
    result.set(http::field::authorization, "Bearer key-1");
    if (record.kind == call_kind::review || record.kind == call_kind::rights)
    {
        const auto number = std::to_string(chat);
        result.set("X-Prefix-Hash", "aa:500,b" + number + ":4000,c" + record.request + ":100");
    }
    result.body() = body;
    result.prepare_payload();
    return result;
}

} // namespace

void caller::start()
{
    asio::co_spawn(
        asio::make_strand(io_), [self = shared_from_this()] { return self->run(); },
        asio::detached);
}

std::size_t caller::pick(std::size_t count)
{
    return static_cast<std::size_t>(random_() % count);
}

call_kind caller::pick_kind()
{
    static constexpr std::array kinds{call_kind::grant,  call_kind::grant,  call_kind::status,
                                      call_kind::status, call_kind::review, call_kind::review,
                                      call_kind::rights, call_kind::rights};
    return kinds[pick(kinds.size())];
}

asio::awaitable<void> caller::pause(milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    beast::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<bool> caller::connect(stream& conn, std::size_t router)
{
    conn.expires_after(connect_limit);
    beast::error_code ec;
    co_await conn.async_connect(*parse_address(fleet_.address(router)),
                                asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

asio::awaitable<void> caller::run()
{
    const auto self = shared_from_this();
    while (!stopping_)
    {
        const auto router = habits_.probes.value_or(pick(fleet_.routers().size()));
        const auto boot = fleet_.routers()[router]->boot.load();
        stream conn{co_await asio::this_coro::executor};
        buffer_.clear();
        bool open = co_await connect(conn, router);
        // A process that was started meanwhile would be taken for the one before.
        open = open && boot == fleet_.routers()[router]->boot;
        if (!open)
        {
            co_await pause(pause_after_failure);
        }
        for (std::size_t n = 0; open && !stopping_ && n != calls_per_connection; ++n)
        {
            call_record record;
            record.kind = habits_.probes ? call_kind::probe : pick_kind();
            record.version = habits_.probes ? fleet_.version() : 0;
            record.router = router;
            record.boot = boot;
            if (record.kind != call_kind::probe || record.version >= first_added_route)
            {
                record.request =
                    make_request_id(record.kind, record.version, habits_.number, ++calls_);
                open = co_await call(conn, std::move(record));
            }
            co_await pause(habits_.probes ? probe_period : milliseconds{pick(longest_pause_ms)});
        }
    }
    ended_ = true;
}

asio::awaitable<bool> caller::call(stream& conn, call_record record)
{
    const bool impatient = !habits_.probes && pick(impatient_share) == 0;
    conn.expires_after(impatient ? milliseconds{pick(longest_patience_ms) + 1} : answer_limit);
    auto message = message_of(record, pick(chat_count));
    beast::error_code ec;
    co_await http::async_write(conn, message, asio::redirect_error(asio::use_awaitable, ec));
    record.written_at = clock::now();
    bool open = false;
    if (!ec)
    {
        open = co_await read_answer(conn, record);
    }
    record.gave_up = record.gave_up || ec == beast::error::timeout;
    record.ended_at = clock::now();
    seen_.add(std::move(record));
    co_return open;
}

asio::awaitable<bool> caller::read_answer(stream& conn, call_record& record)
{
    http::response_parser<http::string_body> p;
    beast::error_code ec;
    co_await http::async_read(conn, buffer_, p, asio::redirect_error(asio::use_awaitable, ec));
    record.gave_up = ec == beast::error::timeout;
    if (!p.is_header_done())
    {
        co_return false;
    }
    const auto& head = p.get();
    record.status = head.result_int();
    // An answer that ends with its connection would not show that it was cut.
    record.complete = !ec && p.is_done() && (head.chunked() || head.has_content_length());
    record.has_signature = head.count("X-Server-Signature") != 0;
    record.body_matches = head.body() == answer_of(record.kind, record.request) &&
                          head["X-Attempt-Id"] == record.request;
    co_return record.complete&& head.keep_alive();
}

} // namespace mangovane::soak

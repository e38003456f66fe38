// Implementation of the caller.
#include "soak/caller.hpp"

#include <array>
#include <sstream>
#include <string_view>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
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

constexpr milliseconds connect_timeout{1000};
/// For requests with short work; exceeds the `request_deadline`.
constexpr milliseconds response_timeout{6000};
constexpr milliseconds long_response_timeout{long_route_timeout + milliseconds{2000}};
constexpr milliseconds probe_period{150};
constexpr milliseconds pause_after_failure{100};
constexpr std::size_t max_pause_ms = 120;
constexpr std::size_t max_pause_after_long_work_ms = 10;
constexpr std::size_t chat_count = 40;

/// Longest time for which a caller leaves a connection idle: four fifths of the idle timeout of 5
/// s.
constexpr std::size_t max_idle_ms = 4000;

/// One call in this many is written in pieces. The waits add up to four fifths of
/// `header_timeout` at most.
constexpr std::size_t split_call_interval = 15;
constexpr std::array<std::size_t, 3> piece_ends{7, 30, 90};
/// Bytes of a request with long work that are written last, so that its body is read late.
constexpr std::size_t last_piece_bytes = 5;
constexpr std::size_t max_piece_wait_ms = 266;

/// One call in this many is abandoned by its caller after a short delay.
constexpr std::size_t abandoned_call_interval = 25;
constexpr std::size_t max_abandon_delay_ms = 150;

/// One call in this many is replaced by bytes that are no acceptable request. The process of the
/// router must not end with them.
constexpr std::size_t malformed_call_interval = 60;

constexpr std::array<std::string_view, 5> malformed_requests{
    "POST /grant/7 HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "POST /grant/7 HTTP/1.1\r\nHost: a\r\nHost: b\r\nContent-Length: 0\r\n\r\n",
    "POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: 3\r\n"
    "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "these bytes are not HTTP\r\n\r\n"};

http::request<http::string_body> message_of(const call_record& record, std::size_t chat)
{
    const auto body = body_of(record.request);
    http::request<http::string_body> result{body.empty() ? http::verb::get : http::verb::post,
                                            target_of(record.request), 11};
    result.set(http::field::host, "desk.example");
    result.set("X-Attempt-Id", record.request);
    result.set("X-Deadline-Ms", std::to_string(record.deadline.count()));
    result.set("X-Tenant", "forged");
    result.set(http::field::authorization, "Bearer " + key_of(record.request));
    if (is_stream(record.kind))
    {
        const auto number = std::to_string(chat);
        result.set("X-Prefix-Hash", "aa:500,b" + number + ":4000,c" + record.request + ":100");
    }
    result.body() = body;
    result.prepare_payload();
    if (has_long_work(record.kind) && chat % 2 == 0)
    {
        result.chunked(true);
    }
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
    static constexpr std::array long_kinds{call_kind::long_stream, call_kind::long_stream,
                                           call_kind::long_body, call_kind::plain_stream};
    if (options_.long_work)
    {
        return long_kinds[pick(long_kinds.size())];
    }
    static constexpr std::array kinds{call_kind::single_run,       call_kind::single_run,
                                      call_kind::idempotent,       call_kind::idempotent,
                                      call_kind::plain_stream,     call_kind::plain_stream,
                                      call_kind::resumable_stream, call_kind::resumable_stream};
    return kinds[pick(kinds.size())];
}

call_record caller::make_probe()
{
    static constexpr std::array kinds{call_kind::probe, call_kind::removed_route,
                                      call_kind::removed_key};
    call_record result;
    result.kind = options_.probes_removed ? kinds[calls_ % kinds.size()] : call_kind::probe;
    const auto version = fleet_.version();
    result.version = asks_for_removed(result.kind) ? version - 1 : version;
    return result;
}

milliseconds caller::pick_wait()
{
    if (options_.probed_router)
    {
        return probe_period;
    }
    if (options_.long_work)
    {
        return milliseconds{pick(max_pause_after_long_work_ms)};
    }
    const bool idles = pick(100) < options_.idle_percent;
    return milliseconds{pick(idles ? max_idle_ms : max_pause_ms)};
}

asio::awaitable<void> caller::pause(milliseconds time)
{
    asio::steady_timer timer{co_await asio::this_coro::executor, time};
    beast::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<bool> caller::connect(stream& conn, std::size_t router)
{
    conn.expires_after(connect_timeout);
    beast::error_code ec;
    co_await conn.async_connect(*parse_address(fleet_.address(router)),
                                asio::redirect_error(asio::use_awaitable, ec));
    co_return !ec;
}

std::size_t caller::pick_router()
{
    if (options_.probed_router || options_.home_router)
    {
        return options_.probed_router.value_or(options_.home_router.value_or(0));
    }
    return pick(fleet_.routers().size());
}

asio::awaitable<void> caller::run()
{
    const auto self = shared_from_this();
    co_await pause(options_.start_delay);
    for (std::size_t made = 0; !stopping_ && made != options_.max_connections; ++made)
    {
        const auto router = pick_router();
        const auto process_number = fleet_.routers()[router]->process_number.load();
        stream conn{co_await asio::this_coro::executor};
        buffer_.clear();
        bool open = co_await connect(conn, router);
        // After a restart in the meantime, calls would be attributed to the previous process.
        open = open && process_number == fleet_.routers()[router]->process_number;
        if (!open)
        {
            co_await pause(pause_after_failure);
        }
        for (std::size_t n = 0; open && !stopping_ && n != options_.calls_per_connection; ++n)
        {
            const bool may_spoil = !options_.probed_router && !options_.long_work;
            if (may_spoil && pick(malformed_call_interval) == 0)
            {
                co_await send_malformed(conn);
                break;
            }
            call_record record;
            if (options_.probed_router)
            {
                record = make_probe();
            }
            else
            {
                record.kind = pick_kind();
            }
            record.router = router;
            record.process_number = process_number;
            if (!options_.probed_router || fleet_.version() >= first_added_route)
            {
                record.request =
                    make_request_id(record.kind, record.version, options_.number, ++calls_);
                record.deadline = deadline_of(record.request);
                open = co_await call(conn, std::move(record));
            }
            co_await pause(pick_wait());
        }
    }
    ended_ = true;
}

asio::awaitable<void> caller::send_malformed(stream& conn)
{
    const auto& text = malformed_requests[pick(malformed_requests.size())];
    conn.expires_after(response_timeout);
    beast::error_code ec;
    co_await asio::async_write(conn, asio::buffer(text),
                               asio::redirect_error(asio::use_awaitable, ec));
    http::response_parser<http::string_body> p;
    co_await http::async_read(conn, buffer_, p, asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<bool> caller::call(stream& conn, call_record record)
{
    const bool abandons = !options_.probed_router && pick(abandoned_call_interval) == 0;
    const auto patience = has_long_work(record.kind) ? long_response_timeout : response_timeout;
    conn.expires_after(abandons ? milliseconds{pick(max_abandon_delay_ms) + 1} : patience);
    auto message = message_of(record, pick(chat_count));
    beast::error_code ec;
    const auto begun_at = clock::now();
    record.sending_at = begun_at;
    if (!abandons && !options_.probed_router && pick(split_call_interval) == 0)
    {
        std::ostringstream text;
        text << message;
        ec = co_await write_in_pieces(conn, text.str(), record);
    }
    else
    {
        co_await http::async_write(conn, message, asio::redirect_error(asio::use_awaitable, ec));
    }
    record.written_at = clock::now();
    record.sent_in_time = !ec && record.written_at < begun_at + header_timeout;
    bool open = false;
    if (!ec)
    {
        open = co_await read_response(conn, record);
    }
    record.abandoned = record.abandoned || ec == beast::error::timeout;
    record.ended_at = clock::now();
    recorder_.add(std::move(record));
    co_return open;
}

asio::awaitable<beast::error_code>
caller::write_in_pieces(stream& conn, const std::string& text, call_record& record)
{
    beast::error_code ec;
    std::size_t begin = 0;
    auto ends = piece_ends;
    if (has_long_work(record.kind))
    {
        ends.back() = text.size() - last_piece_bytes;
    }
    for (const auto end : ends)
    {
        co_await asio::async_write(conn, asio::buffer(text.substr(begin, end - begin)),
                                   asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
        {
            co_return ec;
        }
        begin = end;
        co_await pause(milliseconds{pick(max_piece_wait_ms)});
    }
    record.sending_at = clock::now();
    co_await asio::async_write(conn, asio::buffer(text.substr(begin)),
                               asio::redirect_error(asio::use_awaitable, ec));
    co_return ec;
}

asio::awaitable<bool> caller::read_response(stream& conn, call_record& record)
{
    http::response_parser<http::string_body> p;
    beast::error_code ec;
    co_await http::async_read(conn, buffer_, p, asio::redirect_error(asio::use_awaitable, ec));
    record.abandoned = ec == beast::error::timeout;
    if (!p.is_header_done())
    {
        co_return false;
    }
    const auto& head = p.get();
    record.status = head.result_int();
    // The end of a response that is delimited by the close of its connection can't be told from a
    // truncation.
    record.complete = !ec && p.is_done() && (head.chunked() || head.has_content_length());
    record.has_signature = head.count("X-Server-Signature") != 0;
    record.body_matches =
        head.body() == response_body_of(record.request) && head["X-Attempt-Id"] == record.request;
    co_return record.complete&& head.keep_alive();
}

} // namespace mangovane::soak

// Polls the load reports of endpoints over HTTP.
#include "mangovane/net/endpoint_poller.hpp"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include "mangovane/net/address.hpp"
#include "mangovane/net/load_report.hpp"
#include "mangovane/net/peek.hpp"
#include "mangovane/net/spawn.hpp"
#include "mangovane/net/timed_socket.hpp"

namespace mangovane
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace
{

/// Timeout of one poll; below the poll period, so that polls of an endpoint do not overlap.
constexpr milliseconds poll_timeout{400};
/// Assumed age of a load report on arrival: endpoints report their load with a delay, and a report
/// must not count as information about a later time.
constexpr milliseconds report_lag{500};
constexpr std::size_t max_report_bytes = std::size_t{16} * 1024;
constexpr std::size_t max_read_buffer_bytes = std::size_t{16} * 1024;

} // namespace

endpoint_poller::endpoint_poller(asio::io_context& io, coordinator& core)
    : io_{io}, core_{core}, timer_{asio::make_strand(io)}
{}

void endpoint_poller::start()
{
    spawn(timer_.get_executor(), "poll_endpoints", run());
}

void endpoint_poller::stop()
{
    stopped_ = true;
    asio::post(timer_.get_executor(), [this] { timer_.cancel(); });
}

asio::awaitable<void> endpoint_poller::run()
{
    while (!stopped_)
    {
        const auto routes = core_.routes();
        for (const auto endpoint : core_.endpoints_to_poll(clock::now()))
        {
            const auto* info = routes->find(endpoint);
            if (info != nullptr)
            {
                spawn(asio::make_strand(io_), "endpoint_poll", poll(*info));
            }
        }
        boost::system::error_code ec;
        timer_.expires_after(load_poll_period);
        co_await timer_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
}

asio::awaitable<void> endpoint_poller::poll(endpoint_info endpoint)
{
    const auto sampled_at = clock::now() - report_lag;
    const auto address = parse_address(endpoint.address);
    const auto executor = co_await asio::this_coro::executor;
    const auto conn = std::make_shared<timed_socket>(executor);
    const auto deadline = clock::now() + poll_timeout;
    beast::error_code ec;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_report_bytes);
    if (address)
    {
        conn->expire_at(deadline, is_writable);
        co_await conn->socket().async_connect(*address,
                                              asio::redirect_error(asio::use_awaitable, ec));
    }
    if (address && !ec)
    {
        http::request<http::empty_body> req{http::verb::get, "/mangovane/load", 11};
        req.set(http::field::host, endpoint.address);
        req.keep_alive(false);
        bytes_ += co_await http::async_write(conn->socket(), req,
                                             asio::redirect_error(asio::use_awaitable, ec));
        beast::flat_buffer buf{max_read_buffer_bytes};
        if (!ec)
        {
            conn->expire_at(deadline, is_readable);
            bytes_ += co_await http::async_read(conn->socket(), buf, parser,
                                                asio::redirect_error(asio::use_awaitable, ec));
        }
    }
    conn->close();
    // A plain service may respond 404: it is reachable but does not report its load.
    const bool answered = address && !ec && parser.is_done();
    const auto report = answered ? parse_load_report(parser.get().body(), endpoint.id, sampled_at)
                                 : std::optional<endpoint_report>{};
    if (report)
    {
        core_.on_endpoint_report(*report, clock::now());
    }
    else
    {
        core_.on_endpoint_poll(endpoint.id, answered, clock::now());
    }
}

} // namespace mangovane

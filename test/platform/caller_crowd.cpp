// Implementation of the crowds of callers.
#include "platform/caller_crowd.hpp"

#include <array>

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/address.hpp"

namespace mangovane::test
{

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

namespace
{

/// Time that a complete request takes at its endpoint.
constexpr milliseconds service_time{3000};

/// Bytes that a caller of an endless part sends at most.
constexpr std::size_t max_endless_bytes = std::size_t{2} * 1024 * 1024;

/// Connections of a caller that comes again, and its pause before each.
constexpr std::size_t max_connections = 100;
constexpr milliseconds pause_between_connections{50};

} // namespace

std::vector<crowd_kind> crowd_kinds(const std::string& request_begin, std::size_t max_header_bytes)
{
    const std::size_t legal = max_header_bytes - 1024;
    const std::string no_body = "Content-Length: 0\r\n\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"very many short lines", request_begin, "a:\r\n", legal, no_body},
        {"many odd lines", request_begin, "x17: \t \r\n", legal, no_body},
        {"heads over the limit", request_begin, "a:\r\n", 2 * max_header_bytes, no_body},
        {"unfinished heads", request_begin, "a:\r\n", legal, ""},
        {"heads without end", request_begin, "X-More: 1\r\n", max_endless_bytes, ""},
        {"one endless line", request_begin + "X-More: ", std::string(1024, 'x'), max_endless_bytes,
         ""},
        {"empty lines without end", "", "\r\n", max_endless_bytes, ""},
        {"chunk extensions without end", request_begin + chunked + "1;", "x=1;", max_endless_bytes,
         ""},
        {"trailers without end", request_begin + chunked + "1\r\nx\r\n0\r\n", "a:\r\n",
         max_endless_bytes, ""},
        {"requests whose answers are not read", "", "GET /unknown HTTP/1.1\r\nHost: a\r\n\r\n",
         max_endless_bytes, ""},
        {"many lines before a body that does not arrive", request_begin, "a:\r\n", legal,
         "Content-Length: 1000\r\n\r\n"},
    };
}

std::string text_of(const crowd_kind& kind)
{
    std::string result = kind.begin;
    while (result.size() + kind.part.size() <= kind.bytes)
    {
        result += kind.part;
    }
    return result + kind.end;
}

struct holding_endpoint::connection
{
    explicit connection(tcp::socket it) : socket{std::move(it)}, timer{socket.get_executor()} {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::string request;
    std::string response{"HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 0\r\n\r\n"};
};

holding_endpoint::~holding_endpoint()
{
    io_.stop();
    thread_.join();
}

std::string holding_endpoint::address() const
{
    return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
}

void holding_endpoint::accept()
{
    acceptor_.async_accept(
        [this](error_code ec, tcp::socket socket)
        {
            if (!ec)
            {
                serve(std::make_shared<connection>(std::move(socket)));
                accept();
            }
        });
}

void holding_endpoint::serve(const std::shared_ptr<connection>& it)
{
    asio::async_read_until(it->socket, asio::dynamic_buffer(it->request), "\r\n\r\n",
                           [it](error_code ec, std::size_t)
                           {
                               if (!ec)
                               {
                                   answer(it);
                               }
                           });
}

void holding_endpoint::answer(const std::shared_ptr<connection>& it)
{
    const bool at_once = it->request.starts_with("GET ");
    it->timer.expires_after(at_once ? milliseconds{0} : service_time);
    it->timer.async_wait(
        [it](error_code) {
            asio::async_write(it->socket, asio::buffer(it->response),
                              [it](error_code, std::size_t) {});
        });
}

crowd::crowd(const std::string& address, std::size_t count, std::string text, int receive_bytes)
    : text_{std::move(text)}
{
    for (std::size_t n = 0; n != count; ++n)
    {
        auto& it = sockets_.emplace_back(io_, tcp::v4());
        if (receive_bytes != 0)
        {
            it.set_option(tcp::socket::receive_buffer_size{receive_bytes});
        }
        it.connect(*parse_address(address));
        asio::async_write(it, asio::buffer(text_), [](error_code, std::size_t) {});
    }
}

void crowd::send_for(milliseconds time)
{
    // The context would return as soon as all writes have ended.
    const auto work = asio::make_work_guard(io_);
    io_.run_for(time);
}

struct returning_crowd::caller
{
    explicit caller(asio::io_context& io) : socket{io}, timer{io} {}
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 512> read{};
    std::size_t connections{0};
};

returning_crowd::returning_crowd(const std::string& address, std::size_t count, std::string text)
    : text_{std::move(text)}, target_{*parse_address(address)}
{
    for (std::size_t n = 0; n != count; ++n)
    {
        connect(*callers_.emplace_back(std::make_unique<caller>(io_)));
    }
    thread_ = std::thread{[this] { io_.run(); }};
}

returning_crowd::~returning_crowd()
{
    io_.stop();
    thread_.join();
}

void returning_crowd::connect(caller& it)
{
    ++connections_;
    ++it.connections;
    it.socket.async_connect(target_,
                            [this, &it](error_code ec)
                            {
                                if (ec)
                                {
                                    come_again(it);
                                    return;
                                }
                                send(it);
                                await_end(it);
                            });
}

void returning_crowd::send(caller& it)
{
    asio::async_write(it.socket, asio::buffer(text_), [](error_code, std::size_t) {});
}

void returning_crowd::await_end(caller& it)
{
    it.socket.async_read_some(asio::buffer(it.read),
                              [this, &it](error_code ec, std::size_t)
                              {
                                  if (ec)
                                  {
                                      come_again(it);
                                      return;
                                  }
                                  await_end(it);
                              });
}

void returning_crowd::come_again(caller& it)
{
    error_code ec;
    it.socket.close(ec);
    if (it.connections == max_connections)
    {
        return;
    }
    it.timer.expires_after(pause_between_connections);
    it.timer.async_wait([this, &it](error_code) { connect(it); });
}

void check_survived(child_process& process, const std::string& kind)
{
    REQUIRE_FALSE(process.wait(milliseconds{0}));
    MESSAGE(kind << ": " << process.peak_memory_kb() << " KB, " << process.open_descriptors()
                 << " descriptors");
    CHECK(process.peak_memory_kb() < crowd_memory_kb);
    CHECK(process.open_descriptors() < crowd_descriptors);
}

} // namespace mangovane::test

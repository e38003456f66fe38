// Guards against callers that end the process of a router because it runs out of memory: requests
// of legal size with very many header lines, and parts of requests over the limit or without end.
// The tests check no times and no share of served requests.
#include <deque>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <absl/strings/str_cat.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/address.hpp"
#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::size_t max_header_bytes = 65536;

/// Callers of a crowd, a third of those for which the target is stated.
constexpr std::size_t crowd_size = 100;
constexpr std::size_t idle_connections = 2500;

/// The target is 64 MB for 300 callers with `max_header_bytes` 65,536, of which an idle process
/// takes 12 MB.
constexpr std::size_t idle_process_kb = 12 * 1024;
constexpr std::size_t target_kb = 64 * 1024;
constexpr std::size_t target_crowd = 300;
constexpr std::size_t crowd_memory_kb =
    idle_process_kb + (target_kb - idle_process_kb) * crowd_size / target_crowd;

/// Descriptors of an idle process.
constexpr std::size_t own_descriptors = 64;
/// Each caller takes its connection and its endpoint's.
constexpr std::size_t crowd_descriptors = own_descriptors + 2 * crowd_size;

/// Time that a complete request takes at its endpoint.
constexpr milliseconds service_time{3000};
/// A crowd goes on sending for this long, beyond `header_timeout`.
constexpr milliseconds crowd_time{4000};
/// Bytes that a caller of an endless part sends at most.
constexpr std::size_t max_endless_bytes = std::size_t{2} * 1024 * 1024;

/// What each caller of a crowd sends: the beginning, `part` repeated to `bytes`, then the end.
struct crowd_kind
{
    std::string name;
    std::string begin;
    std::string part;
    std::size_t bytes; ///< Of the whole request with its repeated part.
    std::string end;
};

const std::string request_begin = "POST /grant/7 HTTP/1.1\r\nHost: desk.example\r\n"
                                  "X-Attempt-Id: many\r\nX-Deadline-Ms: 6000\r\n"
                                  "Authorization: Bearer key-1\r\n";
const std::string no_body = "Content-Length: 0\r\n\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<crowd_kind>& crowd_kinds()
{
    constexpr std::size_t legal = max_header_bytes - 1024;
    static const std::vector<crowd_kind> kinds{
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
        {"many lines before a body that does not arrive", request_begin, "a:\r\n", legal,
         "Content-Length: 1000\r\n\r\n"},
    };
    return kinds;
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

/// Endpoint that answers each request after `service_time`, whatever the size of its head.
class holding_endpoint
{
public:
    holding_endpoint() { accept(); }
    ~holding_endpoint()
    {
        io_.stop();
        thread_.join();
    }
    holding_endpoint(const holding_endpoint&) = delete;
    holding_endpoint& operator=(const holding_endpoint&) = delete;

    [[nodiscard]] std::string address() const
    {
        return absl::StrCat("127.0.0.1:", acceptor_.local_endpoint().port());
    }

private:
    struct connection
    {
        explicit connection(tcp::socket it) : socket{std::move(it)}, timer{socket.get_executor()} {}
        tcp::socket socket;
        asio::steady_timer timer;
        std::string request;
        std::string response{
            "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\nContent-Length: 0\r\n\r\n"};
    };

    void accept()
    {
        acceptor_.async_accept(
            [this](boost::system::error_code ec, tcp::socket socket)
            {
                if (!ec)
                {
                    serve(std::make_shared<connection>(std::move(socket)));
                    accept();
                }
            });
    }

    static void serve(const std::shared_ptr<connection>& it)
    {
        asio::async_read_until(it->socket, asio::dynamic_buffer(it->request), "\r\n\r\n",
                               [it](boost::system::error_code ec, std::size_t)
                               {
                                   if (!ec)
                                   {
                                       answer(it);
                                   }
                               });
    }

    static void answer(const std::shared_ptr<connection>& it)
    {
        it->timer.expires_after(service_time);
        it->timer.async_wait(
            [it](boost::system::error_code)
            {
                asio::async_write(it->socket, asio::buffer(it->response),
                                  [it](boost::system::error_code, std::size_t) {});
            });
    }

    asio::io_context io_{1};
    tcp::acceptor acceptor_{io_, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    std::thread thread_{[this] { io_.run(); }};
};

/// Connections that all send the same bytes at once, and read nothing.
class crowd
{
public:
    crowd(const std::string& address, std::size_t count, std::string text) : text_{std::move(text)}
    {
        for (std::size_t n = 0; n != count; ++n)
        {
            auto& it = sockets_.emplace_back(io_);
            it.connect(*parse_address(address));
            asio::async_write(it, asio::buffer(text_),
                              [](boost::system::error_code, std::size_t) {});
        }
    }

    void send_for(milliseconds time)
    {
        // The context would return as soon as all writes have ended.
        const auto work = asio::make_work_guard(io_);
        io_.run_for(time);
    }

private:
    const std::string text_;
    asio::io_context io_{1};
    std::deque<tcp::socket> sockets_; ///< At fixed addresses, which pending writes refer to.
};

router_fleet make_fleet()
{
    fleet_params params;
    params.config.header_bytes = max_header_bytes;
    params.config.header_timeout = milliseconds{3000};
    params.config.call_timeout = milliseconds{6000};
    return router_fleet{1, params};
}

/// Whether one ordinary request is answered; the rest of a crowd may still be in the way.
bool serves_ordinary_caller(const router_fleet& fleet)
{
    return eventually([&] { return fleet.call(0, "POST", "review", "ordinary").status == 200; },
                      milliseconds{20000});
}

} // namespace

TEST_SUITE("uncontrolled callers")
{
    void check_crowd(const crowd_kind& kind)
    {
        auto fleet = make_fleet();
        REQUIRE(fleet.await_ready(0));
        const holding_endpoint plain;
        fleet.write_address("plain-1", "ventanilla", plain.address());
        fleet.add_engine("engine-1", "dictamen");
        REQUIRE(serves_ordinary_caller(fleet));

        crowd callers{fleet.address(0, 0), crowd_size, text_of(kind)};
        callers.send_for(crowd_time);

        REQUIRE_FALSE(fleet.processes[0]->wait(milliseconds{0}));
        MESSAGE(kind.name << ": " << fleet.processes[0]->peak_memory_kb() << " KB, "
                          << fleet.processes[0]->open_descriptors() << " descriptors");
        CHECK(fleet.processes[0]->peak_memory_kb() < crowd_memory_kb);
        CHECK(fleet.processes[0]->open_descriptors() < crowd_descriptors);
        CHECK(serves_ordinary_caller(fleet));
    }

    TEST_CASE("callers with very many short header lines")
    {
        check_crowd(crowd_kinds()[0]);
    }

    TEST_CASE("callers with many odd header lines")
    {
        check_crowd(crowd_kinds()[1]);
    }

    TEST_CASE("callers with many header lines before a body that does not arrive")
    {
        check_crowd(crowd_kinds().back());
    }

    TEST_CASE("callers with parts over the limit or without end")
    {
        for (std::size_t n = 2; n + 1 < crowd_kinds().size(); ++n)
        {
            SUBCASE(crowd_kinds()[n].name.c_str())
            {
                check_crowd(crowd_kinds()[n]);
            }
        }
    }

    TEST_CASE("callers with idle connections")
    {
        auto fleet = make_fleet();
        REQUIRE(fleet.await_ready(0));
        fleet.add_engine("engine-1", "dictamen");
        REQUIRE(serves_ordinary_caller(fleet));
        crowd callers{fleet.address(0, 0), idle_connections, ""};
        callers.send_for(milliseconds{1000});
        REQUIRE_FALSE(fleet.processes[0]->wait(milliseconds{0}));
        MESSAGE("idle: " << fleet.processes[0]->peak_memory_kb() << " KB, "
                         << fleet.processes[0]->open_descriptors() << " descriptors");
        CHECK(fleet.processes[0]->peak_memory_kb() < target_kb);
        CHECK(fleet.processes[0]->open_descriptors() < own_descriptors + idle_connections);
        CHECK(serves_ordinary_caller(fleet));
    }
}

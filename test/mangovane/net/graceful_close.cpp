// Tests of the graceful close. Guards against a caller that loses the end of a response because the
// connection is reset over bytes that nobody has read, and against a peer that keeps it open.
#include "mangovane/net/graceful_close.hpp"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace mangovane;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr milliseconds close_time{300};
/// More than the peer's receive buffer holds, so that a reset would drop the end.
constexpr std::size_t response_bytes = std::size_t{1024} * 1024;

/// A connection on loopback whose one end is closed gracefully on a thread.
class closing_connection
{
public:
    closing_connection()
    {
        tcp::acceptor acceptor{io_, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
        peer.connect(acceptor.local_endpoint());
        acceptor.accept(socket);
        socket.set_option(
            asio::socket_base::send_buffer_size{static_cast<int>(response_bytes) * 2});
    }
    ~closing_connection() { await_end(); }
    closing_connection(const closing_connection&) = delete;
    closing_connection& operator=(const closing_connection&) = delete;

    void start_close()
    {
        started_at_ = clock::now();
        asio::co_spawn(io_,
                       graceful_close(socket, deadline_, started_at_ + close_time, true, nullptr),
                       asio::detached);
        thread_ = std::thread{[this]
                              {
                                  io_.run();
                                  duration_ = clock::now() - started_at_;
                              }};
    }

    /// Time from the start to the end of the close.
    clock::duration await_end()
    {
        if (thread_.joinable())
        {
            thread_.join();
        }
        return duration_;
    }

private:
    asio::io_context io_{1};
    asio::io_context peer_io_{1};
    socket_deadline deadline_{io_.get_executor()};
    time_point started_at_;
    clock::duration duration_{};
    std::thread thread_;

public:
    tcp::socket socket{io_};
    tcp::socket peer{peer_io_};
};

} // namespace

TEST_CASE("a connection that is closed gracefully")
{
    closing_connection connection;
    boost::system::error_code ec;

    SUBCASE("with bytes of the peer that were not read")
    {
        asio::write(connection.peer, asio::buffer(std::string(5000, 'x')));
        connection.socket.non_blocking(true);
        const std::string response(response_bytes, 'y');
        const auto written = connection.socket.write_some(asio::buffer(response), ec);
        REQUIRE(written != 0);
        connection.start_close();

        SUBCASE("delivers all that was written, and then its end")
        {
            std::this_thread::sleep_for(milliseconds{50});
            std::string received;
            asio::read(connection.peer, asio::dynamic_buffer(received), ec);
            CHECK(received.size() == written);
            CHECK(ec == asio::error::eof);

            SUBCASE("and ends when the peer closes its side")
            {
                connection.peer.close();
                CHECK(connection.await_end() < close_time);
            }
        }
    }
    SUBCASE("by a peer that never closes its side ends at the time")
    {
        connection.start_close();
        const auto duration = connection.await_end();
        CHECK(duration >= close_time);
        CHECK(duration < close_time * 2);
        CHECK_FALSE(connection.socket.is_open());
    }
    SUBCASE("by a peer that sends without end")
    {
        connection.start_close();

        SUBCASE("as fast as it can ends at the limit of bytes")
        {
            const std::string bytes(64 * 1024, 'x');
            std::size_t sent = 0;
            while (!ec && sent < max_dropped_bytes * 64)
            {
                sent += asio::write(connection.peer, asio::buffer(bytes), ec);
            }
            CHECK(ec);
            CHECK(sent >= max_dropped_bytes);
            CHECK(connection.await_end() < close_time);
        }
        SUBCASE("slowly ends soon after the time")
        {
            const auto give_up_at = clock::now() + close_time * 10;
            while (!ec && clock::now() < give_up_at)
            {
                asio::write(connection.peer, asio::buffer("x", 1), ec);
                std::this_thread::sleep_for(milliseconds{5});
            }
            CHECK(ec);
            CHECK(connection.await_end() < close_time + arrival_grace * 2);
        }
    }
}

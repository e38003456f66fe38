// Tests of the deadline of a socket operation. Guards against a late timer that is believed before
// what has arrived: a paused process would close a connection in which a request waits.
#include "mangovane/net/socket_deadline.hpp"

#include <chrono>
#include <optional>
#include <thread>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/peek.hpp"

using namespace mangovane;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr milliseconds short_time{30};

milliseconds since(time_point start)
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - start);
}

} // namespace

TEST_CASE("the deadline of an operation")
{
    asio::io_context io{1};
    socket_deadline deadline{io.get_executor()};
    const auto started_at = clock::now();
    int checks = 0;
    int expiries = 0;
    bool arrived = false;
    const auto has_arrived = [&]
    {
        ++checks;
        return arrived;
    };
    const auto on_expired = [&] { ++expiries; };
    deadline.start(started_at + short_time, has_arrived, on_expired);

    SUBCASE("expires once if nothing has arrived")
    {
        io.run();
        CHECK(expiries == 1);
        CHECK(since(started_at) >= short_time);
        CHECK(since(started_at) < short_time + arrival_grace);

        SUBCASE("and again after a new start")
        {
            deadline.start(clock::now() + short_time, has_arrived, on_expired);
            io.restart();
            io.run();
            CHECK(expiries == 2);
        }
    }
    SUBCASE("does not expire after it was stopped")
    {
        deadline.stop();
        io.run();
        CHECK(expiries == 0);
        CHECK(checks == 0);
    }
    SUBCASE("does not expire after it was stopped late, with its timer already expired")
    {
        std::this_thread::sleep_for(short_time * 2);
        asio::post(io, [&] { deadline.stop(); });
        io.run();
        CHECK(expiries == 0);
    }
    SUBCASE("expires only at the later time after it was started anew")
    {
        const auto restarted_for = short_time * 3;
        deadline.start(started_at + restarted_for, has_arrived, on_expired);
        io.run();
        CHECK(expiries == 1);
        CHECK(since(started_at) >= restarted_for);
    }
    SUBCASE("is put off when something has arrived")
    {
        arrived = true;

        SUBCASE("but only once, as a peer could send byte after byte")
        {
            io.run();
            CHECK(expiries == 1);
            CHECK(checks == 1);
            CHECK(since(started_at) >= short_time + arrival_grace);
        }
        SUBCASE("and can be stopped in the time that this gives")
        {
            io.run_for(short_time + arrival_grace / 2);
            CHECK(checks == 1);
            deadline.stop();
            io.run();
            CHECK(expiries == 0);
        }
        SUBCASE("and once again after a new start")
        {
            io.run();
            deadline.start(clock::now() + short_time, has_arrived, on_expired);
            io.restart();
            io.run();
            CHECK(checks == 2);
            CHECK(expiries == 2);
        }
    }
}

TEST_CASE("a read whose deadline expires while its process is paused")
{
    asio::io_context io{1};
    tcp::acceptor acceptor{io, tcp::endpoint{asio::ip::make_address("127.0.0.1"), 0}};
    tcp::socket peer{io};
    peer.connect(acceptor.local_endpoint());
    auto socket = acceptor.accept();
    socket_deadline deadline{io.get_executor()};
    std::optional<boost::system::error_code> result;
    char byte = 0;
    deadline.start(
        clock::now() + short_time, [&] { return peek(socket) != peek_result::no_data; },
        [&] { socket.cancel(); });
    const auto start_read = [&]
    {
        socket.async_read_some(asio::buffer(&byte, 1),
                               [&](boost::system::error_code ec, std::size_t)
                               {
                                   deadline.stop();
                                   result = ec;
                               });
    };

    SUBCASE("completes if its data has arrived meanwhile")
    {
        start_read();
        // Runs the expiry before the reactor is asked for the state of the socket.
        asio::post(io,
                   [&]
                   {
                       std::this_thread::sleep_for(short_time * 2);
                       asio::write(peer, asio::buffer("x", 1));
                   });
        io.run();
        CHECK(result == boost::system::error_code{});
        CHECK(byte == 'x');
    }
    SUBCASE("is cancelled if nothing has arrived")
    {
        start_read();
        std::this_thread::sleep_for(short_time * 2);
        io.run();
        CHECK(result == boost::system::error_code{asio::error::operation_aborted});
    }
}

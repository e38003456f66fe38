// A request whose body comes in chunks of one byte, and the count of what it costs a server.
#ifndef MANGOVANE_TEST_NET_SMALL_CHUNKS_HPP
#define MANGOVANE_TEST_NET_SMALL_CHUNKS_HPP

#include <cstddef>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

#include "mangovane/core/time.hpp"

namespace mangovane::test
{

/// `head` ends with its last field.
[[nodiscard]] inline std::string in_small_chunks(const std::string& head, std::size_t count)
{
    std::string result = head + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t n = 0; n != count; ++n)
    {
        result += "1\r\nx\r\n";
    }
    return result + "0\r\n\r\n";
}

/// Sends the request, whole, to a server that runs on `io` alone, and checks that the steps of the
/// context until the answer depend on the number of bytes, not on that of the chunks. Returns the
/// beginning of the answer.
[[nodiscard]] inline std::string
check_steps(boost::asio::io_context& io, std::uint16_t port, const std::string& request)
{
    namespace asio = boost::asio;
    /// Bytes for which a server may take one step, beside the steps of any request.
    constexpr std::size_t bytes_per_step = 256;
    constexpr std::size_t steps_of_any_request = 50;
    constexpr std::string_view status_line{"HTTP/1.1 200"};
    asio::io_context client;
    asio::ip::tcp::socket caller{client};
    caller.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(caller, asio::buffer(request));
    std::size_t steps = 0;
    while (caller.available() == 0)
    {
        steps += io.run_one_for(milliseconds{5000});
        REQUIRE(steps <= request.size() * 10);
    }
    MESSAGE("steps: ", steps);
    CHECK(steps <= request.size() / bytes_per_step + steps_of_any_request);
    std::string answer(status_line.size(), '\0');
    asio::read(caller, asio::buffer(answer));
    return answer;
}

} // namespace mangovane::test

#endif

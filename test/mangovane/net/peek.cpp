// Tests of the looks at a socket that do not read. Guards against a reset whose error is taken by a
// look: the read that follows sees an end in order, and half of a response passes as whole.
#include "mangovane/net/peek.hpp"

#include <array>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "mangovane/net/address.hpp"
#include "mangovane/net/endpoint_connections.hpp"
#include "mangovane/net/raw_endpoint.hpp"

using namespace mangovane;
using namespace mangovane::test;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

void reset(raw_endpoint::socket& it)
{
    it.set_option(asio::socket_base::linger{true, 0});
    it.close();
}

boost::system::error_code read_error(tcp::socket& from)
{
    std::array<char, 16> buf{};
    boost::system::error_code ec;
    from.read_some(asio::buffer(buf), ec);
    return ec;
}

} // namespace

TEST_CASE("a look whether a socket is readable")
{
    asio::io_context io;
    raw_endpoint endpoint;
    tcp::socket socket{io};
    socket.connect(*parse_address(endpoint.address()));
    auto other_side = endpoint.accept();
    CHECK_FALSE(is_readable(socket));

    SUBCASE("finds bytes")
    {
        send(other_side, "x");
        CHECK(is_readable(socket));
        CHECK_FALSE(read_error(socket));
    }
    SUBCASE("finds an end in order")
    {
        other_side.close();
        CHECK(is_readable(socket));
        CHECK(read_error(socket) == asio::error::eof);
    }
    SUBCASE("finds a reset and leaves its error to the read")
    {
        reset(other_side);
        CHECK(is_readable(socket));
        CHECK(is_readable(socket));
        CHECK(read_error(socket) == asio::error::connection_reset);
    }
}

TEST_CASE("a connection to an endpoint that was reset")
{
    asio::io_context io;
    raw_endpoint endpoint;
    tcp::socket socket{io};
    socket.connect(*parse_address(endpoint.address()));
    auto other_side = endpoint.accept();
    const auto connections = std::make_shared<endpoint_connections>();
    const connection_registration registration{connections, endpoint.address(),
                                               socket.native_handle()};
    const auto is_reset = [&] { return connections->sample(endpoint.address()).front().reset; };
    CHECK_FALSE(is_reset());

    SUBCASE("is known as such also after its error was taken")
    {
        reset(other_side);
        CHECK(peek(socket) == peek_result::closed);
        CHECK(read_error(socket) == asio::error::eof);
        CHECK(is_reset());
    }
    SUBCASE("is told from one that ended in order")
    {
        other_side.close();
        CHECK(read_error(socket) == asio::error::eof);
        CHECK_FALSE(is_reset());
    }
}

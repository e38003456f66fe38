// TCP keep-alive and user timeout of sockets.
#include "mangovane/net/socket_options.hpp"

#include <algorithm>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace mangovane
{

namespace
{

namespace asio = boost::asio;

template <int Name>
using tcp_option = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// Idle time before the first keep-alive probe, and interval between probes.
constexpr seconds probe_period{1};

} // namespace

void enable_dead_peer_detection(asio::ip::tcp::socket& socket, milliseconds timeout)
{
    const auto probes = std::max<int>(1, static_cast<int>(timeout / probe_period));
    const auto period = static_cast<int>(probe_period.count());
    boost::system::error_code ec;
    socket.set_option(asio::ip::tcp::no_delay{true}, ec);
    socket.set_option(asio::socket_base::keep_alive{true}, ec);
    socket.set_option(tcp_option<TCP_KEEPIDLE>{period}, ec);
    socket.set_option(tcp_option<TCP_KEEPINTVL>{period}, ec);
    socket.set_option(tcp_option<TCP_KEEPCNT>{probes}, ec);
    socket.set_option(tcp_option<TCP_USER_TIMEOUT>{static_cast<int>(timeout.count())}, ec);
}

} // namespace mangovane

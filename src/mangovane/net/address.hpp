// Addresses of instances, endpoints and the platform: IP numbers and ports, no names.
#ifndef MANGOVANE_NET_ADDRESS_HPP
#define MANGOVANE_NET_ADDRESS_HPP

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace mangovane
{

/// Reads `ip:port` or `[ip]:port`; nothing when it is malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

} // namespace mangovane

#endif

// Socket addresses of instances, endpoints and the platform: numeric IP address and port; host
// names are not resolved.
#ifndef MANGOVANE_NET_ADDRESS_HPP
#define MANGOVANE_NET_ADDRESS_HPP

#include <optional>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace mangovane
{

/// Parses `ip:port` or `[ip]:port`; empty if the text is malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

} // namespace mangovane

#endif

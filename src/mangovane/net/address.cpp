// Parsing of socket addresses.
#include "mangovane/net/address.hpp"

#include <charconv>
#include <cstdint>
#include <string>

#include <boost/asio/ip/address.hpp>

namespace mangovane
{

std::optional<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    if (host.starts_with('[') && host.ends_with(']'))
    {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto [end, ec] =
        std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    boost::system::error_code address_ec;
    const auto address = boost::asio::ip::make_address(std::string{host}, address_ec);
    if (ec != std::errc{} || end != port_text.data() + port_text.size() || address_ec)
    {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint{address, port};
}

} // namespace mangovane

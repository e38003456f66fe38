// Message authentication code (MAC) in the hello of a peer connection, which proves that the sender
// has the cluster key.
#ifndef MANGOVANE_NET_HELLO_MAC_HPP
#define MANGOVANE_NET_HELLO_MAC_HPP

#include <string_view>

#include "mangovane/wire/codec.hpp"

namespace mangovane
{

/// HMAC-SHA256 with the cluster key over sender, incarnation, receiver, name and address.
[[nodiscard]] hello_mac
make_hello_mac(std::string_view key, instance_id sender, incarnation epoch, const hello& fields);

/// Whether the first frame of a connection has a hello with a valid MAC. Compares in constant time.
[[nodiscard]] bool verify_hello_mac(std::string_view key, const frame& first);

} // namespace mangovane

#endif

// Proof of the shared key that opens a connection between instances.
#ifndef MANGOVANE_NET_KEY_PROOF_HPP
#define MANGOVANE_NET_KEY_PROOF_HPP

#include <string_view>

#include "mangovane/wire/codec.hpp"

namespace mangovane
{

/// HMAC-SHA256 (OpenSSL) over sender, incarnation, receiver, name and address.
[[nodiscard]] key_proof
make_key_proof(std::string_view key, instance_id sender, incarnation epoch, const hello& greeting);

/// Compares in constant time.
[[nodiscard]] bool verify_key_proof(std::string_view key, const frame& first);

} // namespace mangovane

#endif

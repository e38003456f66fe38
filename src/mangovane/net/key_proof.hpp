// Proof that an instance has the cluster key, sent in the first frame of a peer connection.
#ifndef MANGOVANE_NET_KEY_PROOF_HPP
#define MANGOVANE_NET_KEY_PROOF_HPP

#include <string_view>

#include "mangovane/wire/codec.hpp"

namespace mangovane
{

/// HMAC-SHA256 with the cluster key over sender, incarnation, receiver, name and address.
[[nodiscard]] key_proof
make_key_proof(std::string_view key, instance_id sender, incarnation epoch, const hello& greeting);

/// Whether the first frame of a connection carries a valid proof. Compares in constant time.
[[nodiscard]] bool verify_key_proof(std::string_view key, const frame& first);

} // namespace mangovane

#endif

// HMAC-SHA256 over the hello of a peer connection.
#include "mangovane/net/key_proof.hpp"

#include <absl/strings/str_cat.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace mangovane
{

key_proof
make_key_proof(std::string_view key, instance_id sender, incarnation epoch, const hello& greeting)
{
    const auto text =
        absl::StrCat("mangovane hello ", sender.value(), " ", epoch, " ", greeting.receiver.value(),
                     " ", greeting.name.size(), " ", greeting.name, " ", greeting.address);
    key_proof result{};
    auto n = static_cast<unsigned int>(result.size());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), result.data(), &n);
    return result;
}

bool verify_key_proof(std::string_view key, const frame& first)
{
    if (!first.handshake)
    {
        return false;
    }
    const auto expected = make_key_proof(key, first.sender, first.epoch, *first.handshake);
    return CRYPTO_memcmp(expected.data(), first.handshake->proof.data(), expected.size()) == 0;
}

} // namespace mangovane

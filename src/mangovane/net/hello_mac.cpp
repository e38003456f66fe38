// HMAC-SHA256 over the hello of a peer connection.
#include "mangovane/net/hello_mac.hpp"

#include <absl/strings/str_cat.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace mangovane
{

hello_mac
make_hello_mac(std::string_view key, instance_id sender, incarnation epoch, const hello& fields)
{
    const auto text =
        absl::StrCat("mangovane hello ", sender.value(), " ", epoch, " ", fields.receiver.value(),
                     " ", fields.name.size(), " ", fields.name, " ", fields.address);
    hello_mac result{};
    auto n = static_cast<unsigned int>(result.size());
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), result.data(), &n);
    return result;
}

bool verify_hello_mac(std::string_view key, const frame& first)
{
    if (!first.sender_hello)
    {
        return false;
    }
    const auto expected = make_hello_mac(key, first.sender, first.epoch, *first.sender_hello);
    return CRYPTO_memcmp(expected.data(), first.sender_hello->proof.data(), expected.size()) == 0;
}

} // namespace mangovane

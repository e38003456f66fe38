// Implementation of SHA-256 of caller keys.
#include "mangovane/settings/digest.hpp"

#include <array>

#include <absl/strings/escaping.h>
#include <openssl/sha.h>

namespace mangovane
{

std::string sha256_hex(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> buf{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), buf.data());
    return absl::BytesToHexString(
        absl::string_view{reinterpret_cast<const char*>(buf.data()), buf.size()});
}

} // namespace mangovane

// SHA-256 of caller keys. The settings store only the hash of a key.
#ifndef MANGOVANE_SETTINGS_DIGEST_HPP
#define MANGOVANE_SETTINGS_DIGEST_HPP

#include <string>
#include <string_view>

namespace mangovane
{

/// SHA-256 in lower-case hexadecimal, computed by OpenSSL.
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace mangovane

#endif

// SHA-256 of caller keys. Only the hash of a key stands in the settings.
#ifndef MANGOVANE_SETTINGS_DIGEST_HPP
#define MANGOVANE_SETTINGS_DIGEST_HPP

#include <string>
#include <string_view>

namespace mangovane
{

/// SHA-256 in lower-case hexadecimal (OpenSSL).
[[nodiscard]] std::string sha256_hex(std::string_view bytes);

} // namespace mangovane

#endif

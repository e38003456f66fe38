// JSON encoding of claims, for the values of table rows.
#ifndef MANGOVANE_IDEMPOTENCY_CLAIM_CODEC_HPP
#define MANGOVANE_IDEMPOTENCY_CLAIM_CODEC_HPP

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "mangovane/idempotency/claim.hpp"

namespace mangovane
{

/// Encodes ids, digests and fingerprints as unsigned 64-bit numbers, and the body as base64.
[[nodiscard]] std::string encode_claim(const claim& value);

/// Decodes a claim; `kDataLoss` if the text is malformed.
[[nodiscard]] absl::StatusOr<claim> decode_claim(std::string_view text);

} // namespace mangovane

#endif

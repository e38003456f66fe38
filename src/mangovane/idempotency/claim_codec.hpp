// Claims as JSON values of table rows.
#ifndef MANGOVANE_IDEMPOTENCY_CLAIM_CODEC_HPP
#define MANGOVANE_IDEMPOTENCY_CLAIM_CODEC_HPP

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include "mangovane/idempotency/claim.hpp"

namespace mangovane
{

/// Ids, digests and fingerprints are unsigned 64-bit numbers; the body is base64.
[[nodiscard]] std::string encode_claim(const claim& value);

/// `kDataLoss` when the text is malformed.
[[nodiscard]] absl::StatusOr<claim> decode_claim(std::string_view text);

} // namespace mangovane

#endif

// JSON texts of the platform's protocol (docs/platform-protocol.md), read and written.
#ifndef MANGOVANE_STORE_PLATFORM_CODEC_HPP
#define MANGOVANE_STORE_PLATFORM_CODEC_HPP

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "mangovane/store/table_service.hpp"

namespace mangovane
{

/// Percent-encodes all but the unreserved characters of RFC 3986.
[[nodiscard]] std::string encode_path_segment(std::string_view text);

/// Body of `POST /v1/table/write`.
[[nodiscard]] std::string encode_writes(const std::vector<table_write>& writes);

/// Answer of `GET /v1/table/<key>`. `kDataLoss` when it is malformed.
[[nodiscard]] absl::StatusOr<table_row> decode_row(std::string_view text);

/// Answer of `POST /v1/table/write`; it must have `count` results.
[[nodiscard]] absl::StatusOr<std::vector<write_result>> decode_results(std::string_view text,
                                                                       std::size_t count);

/// Answer of `GET /v1/instances`.
[[nodiscard]] absl::StatusOr<discovery_list> decode_discovery_list(std::string_view text);

} // namespace mangovane

#endif

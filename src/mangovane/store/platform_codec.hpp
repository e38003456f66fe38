// Encodes and decodes the JSON messages of the platform's protocol (docs/platform-protocol.md).
#ifndef MANGOVANE_STORE_PLATFORM_CODEC_HPP
#define MANGOVANE_STORE_PLATFORM_CODEC_HPP

#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include "mangovane/store/table_service.hpp"

namespace mangovane
{

/// Encodes the request body of `POST /v1/table/write`.
[[nodiscard]] std::string encode_writes(const std::vector<table_write>& writes);

/// Decodes the response of `GET /v1/table/<key>`. Error: `kDataLoss` if it is malformed.
[[nodiscard]] absl::StatusOr<table_row> decode_row(std::string_view text);

/// Decodes the response of `POST /v1/table/write`. Error: `kDataLoss` if it is malformed or does
/// not have `count` results.
[[nodiscard]] absl::StatusOr<std::vector<write_result>> decode_results(std::string_view text,
                                                                       std::size_t count);

/// Decodes the response of `GET /v1/instances`, without its malformed rows. Error: `kDataLoss` if
/// it is malformed itself.
[[nodiscard]] absl::StatusOr<discovery_list> decode_discovery_list(std::string_view text);

} // namespace mangovane

#endif

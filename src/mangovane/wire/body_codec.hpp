// Conversion between messages and their FlatBuffers tables, one function for each message type.
#ifndef MANGOVANE_WIRE_BODY_CODEC_HPP
#define MANGOVANE_WIRE_BODY_CODEC_HPP

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "mangovane/core/time.hpp"
#include "mangovane/message/message.hpp"
#include "mangovane/wire/frame_generated.h"

namespace mangovane::internal
{

using body_offset = flatbuffers::Offset<void>;

/// Number of the message's table in the schema's union.
[[nodiscard]] wire::Body body_type_of(const message& msg) noexcept;

[[nodiscard]] body_offset
encode_body(flatbuffers::FlatBufferBuilder& buf, const message& msg, time_point now);

/// Decodes a verified table. Error: InvalidArgument for an unknown type or a field out of range.
[[nodiscard]] absl::StatusOr<message>
decode_body(wire::Body type, const void* table, time_point now);

/// Checks the ranges that the receiver will check.
[[nodiscard]] absl::Status check_message(const message& msg);

} // namespace mangovane::internal

#endif

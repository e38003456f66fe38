// Conversion between messages and their FlatBuffers tables, with one function per message type.
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

/// Type of the message's table in the schema's union.
[[nodiscard]] wire::Body body_type_of(const message& msg) noexcept;

/// Encodes a message. Time points are written as the milliseconds left at `now`.
[[nodiscard]] body_offset
encode_body(flatbuffers::FlatBufferBuilder& buf, const message& msg, time_point now);

/// Decodes a verified table. Error: InvalidArgument for an unknown type or a field out of range.
[[nodiscard]] absl::StatusOr<message>
decode_body(wire::Body type, const void* table, time_point now);

/// Checks the ranges of all fields. The decoder applies the same checks. Error: InvalidArgument.
[[nodiscard]] absl::Status check_message(const message& msg);

} // namespace mangovane::internal

#endif

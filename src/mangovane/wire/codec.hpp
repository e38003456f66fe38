// Frames between instances: a 4-byte little-endian length and one FlatBuffers table, defined in
// schema/frame.fbs. This header does not include the generated one.
#ifndef MANGOVANE_WIRE_CODEC_HPP
#define MANGOVANE_WIRE_CODEC_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "mangovane/core/time.hpp"
#include "mangovane/message/message.hpp"

namespace mangovane
{

inline constexpr std::uint16_t frame_version = 2;
inline constexpr std::size_t frame_prefix_bytes = 4;

/// Limit on the first frame of a connection, when the sender has not proved the cluster key yet.
inline constexpr std::size_t max_hello_bytes = 1024;

/// Limit on a frame without settings, excluding the length prefix.
inline constexpr std::size_t max_frame_bytes = 64 * 1024;

/// Limit on a frame with the text of the settings; accepted only from a sender that proved
/// the cluster key.
inline constexpr std::size_t max_settings_frame_bytes = 4 * 1024 * 1024;

/// Limit on the text of the settings. Those of 7,300 accounts with limits take 1.8 MB.
inline constexpr std::size_t max_settings_text_bytes = 3 * 1024 * 1024;
inline constexpr std::size_t max_member_name_bytes = 128;
inline constexpr std::size_t max_member_address_bytes = 64;

/// Limit on the messages in one frame. A frame can refer to one table many times, so its length
/// alone does not bound the size of the decoded messages.
inline constexpr std::size_t max_frame_messages = 4096;

/// HMAC-SHA256 with the cluster key over the other fields of the hello and of its frame.
using hello_mac = std::array<std::uint8_t, 32>;

/// Identifies the sender in the first frame of a connection.
struct hello
{
    std::string name;
    std::string address;  ///< `ip:port` at which the sender listens.
    instance_id receiver; ///< Intended receiver; the address may belong to another by now.
    hello_mac proof{};

    auto operator<=>(const hello&) const = default;
};

/// Messages of one sender.
struct frame
{
    instance_id sender;
    incarnation epoch{0};
    std::optional<hello> sender_hello; ///< Set in the first frame of a connection.
    std::vector<message> messages;

    bool operator==(const frame&) const = default;
};

/// Encodes a frame with its length prefix. A frame with `settings_content` must contain no other
/// message. Errors: ResourceExhausted when the frame is too long and can be split; InvalidArgument
/// when a field is out of range.
[[nodiscard]] absl::StatusOr<std::string> encode_frame(const frame& value, time_point now);

/// Length in bytes of the frame after the prefix. Error: OutOfRange if 0 or above `max_bytes`.
[[nodiscard]] absl::StatusOr<std::size_t>
read_frame_length(const std::array<std::uint8_t, frame_prefix_bytes>& prefix,
                  std::size_t max_bytes);

/// Decodes a frame without its prefix. `bytes` must be aligned to 8 bytes, as allocated memory is.
/// Errors: InvalidArgument when it is malformed or a field is out of range; Unimplemented when its
/// version is not supported; OutOfRange when it exceeds the size limit of its content.
[[nodiscard]] absl::StatusOr<frame> decode_frame(std::string_view bytes, time_point now);

} // namespace mangovane

#endif

// Frames between instances: a 4-byte little-endian length and one FlatBuffers table.
// Source of the format: schema/frame.fbs; the generated header stays out of this one.
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

inline constexpr std::uint16_t frame_version = 1;
inline constexpr std::size_t frame_prefix_bytes = 4;

/// Largest first frame of a connection, before the sender has proved the shared key.
inline constexpr std::size_t max_hello_bytes = 1024;

/// Largest frame without settings, length prefix excluded.
inline constexpr std::size_t max_frame_bytes = 64 * 1024;

/// Largest frame with the text of the settings; accepted only from a sender that proved the key.
inline constexpr std::size_t max_settings_frame_bytes = 4 * 1024 * 1024;

/// The text of 7,300 accounts with limits has 1.8 MB.
inline constexpr std::size_t max_settings_text_bytes = 3 * 1024 * 1024;
inline constexpr std::size_t max_member_name_bytes = 128;
inline constexpr std::size_t max_member_address_bytes = 64;

/// Most messages in one frame. Tables can be shared inside a frame, so its length alone does not
/// bound what it decodes to.
inline constexpr std::size_t max_frame_messages = 4096;

/// HMAC-SHA256 with the shared key over the other fields of the greeting and its frame.
using key_proof = std::array<std::uint8_t, 32>;

/// First content of a connection.
struct hello
{
    std::string name;
    std::string address;  ///< `ip:port` at which the sender listens.
    instance_id receiver; ///< Whom the sender wants to reach; an address can be given to another.
    key_proof proof{};

    auto operator<=>(const hello&) const = default;
};

struct frame
{
    instance_id sender;
    incarnation epoch{0};
    std::optional<hello> handshake; ///< Set in the first frame of a connection.
    std::vector<message> messages;

    bool operator==(const frame&) const = default;
};

/// Encodes with length prefix. `settings_content` stands alone in its frame.
/// Errors: ResourceExhausted when the frame is too long and can be split; InvalidArgument when a
/// field is out of its range.
[[nodiscard]] absl::StatusOr<std::string> encode_frame(const frame& value, time_point now);

/// Length of the frame that follows the prefix. Error: OutOfRange above `max_bytes`, or zero.
[[nodiscard]] absl::StatusOr<std::size_t>
read_frame_length(const std::array<std::uint8_t, frame_prefix_bytes>& prefix,
                  std::size_t max_bytes);

/// Decodes a frame without its prefix. `bytes` starts at a multiple of 8, as allocated memory does.
/// Errors: InvalidArgument when it is malformed or a field is out of its range; Unimplemented when
/// its version is unknown; OutOfRange when it is longer than its content may be.
[[nodiscard]] absl::StatusOr<frame> decode_frame(std::string_view bytes, time_point now);

} // namespace mangovane

#endif

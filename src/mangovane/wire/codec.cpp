// Implementation of the frame codec.
#include "mangovane/wire/codec.hpp"

#include <algorithm>
#include <utility>

#include <absl/strings/str_cat.h>

#include "mangovane/wire/body_codec.hpp"

namespace mangovane
{

namespace
{

/// Limit on nested tables in a frame; more than the schema needs.
constexpr flatbuffers::uoffset_t max_depth = 8;

/// Limit on tables in a frame: the frame, its hello, its messages and their member updates.
constexpr flatbuffers::uoffset_t max_tables = 2 + max_frame_messages * (1 + max_updates_per_probe);

bool is_settings(const message& msg)
{
    return std::holds_alternative<settings_content>(msg);
}

std::size_t size_limit(const std::vector<message>& messages)
{
    const bool settings = std::any_of(messages.begin(), messages.end(), is_settings);
    return settings ? max_settings_frame_bytes : max_frame_bytes;
}

absl::Status check_messages(const std::vector<message>& messages)
{
    if (messages.size() > max_frame_messages)
    {
        return absl::ResourceExhaustedError("too many messages for one frame");
    }
    if (messages.size() > 1 && std::any_of(messages.begin(), messages.end(), is_settings))
    {
        return absl::InvalidArgumentError("a frame with settings must contain no other message");
    }
    for (const auto& it : messages)
    {
        if (auto status = internal::check_message(it); !status.ok())
        {
            return status;
        }
    }
    return absl::OkStatus();
}

flatbuffers::Offset<wire::Hello> encode_hello(flatbuffers::FlatBufferBuilder& buf, const hello& it)
{
    const auto name = buf.CreateString(it.name);
    const auto address = buf.CreateString(it.address);
    const auto proof = buf.CreateVector(it.proof.data(), it.proof.size());
    return wire::CreateHello(buf, name, address, it.receiver.value(), proof);
}

flatbuffers::Offset<wire::Frame>
encode_root(flatbuffers::FlatBufferBuilder& buf, const frame& value, time_point now)
{
    flatbuffers::Offset<wire::Hello> sender_hello;
    if (value.sender_hello)
    {
        sender_hello = encode_hello(buf, *value.sender_hello);
    }
    std::vector<std::uint8_t> types;
    std::vector<internal::body_offset> bodies;
    for (const auto& it : value.messages)
    {
        types.push_back(static_cast<std::uint8_t>(internal::body_type_of(it)));
        bodies.push_back(internal::encode_body(buf, it, now));
    }
    const auto type_vector = buf.CreateVector(types);
    const auto body_vector = buf.CreateVector(bodies);
    return wire::CreateFrame(buf, frame_version, value.sender.value(), value.epoch, sender_hello,
                             type_vector.o, body_vector);
}

std::string with_prefix(const flatbuffers::FlatBufferBuilder& buf)
{
    const auto n = buf.GetSize();
    std::string result;
    result.reserve(n + frame_prefix_bytes);
    for (std::size_t k = 0; k != frame_prefix_bytes; ++k)
    {
        result.push_back(static_cast<char>((n >> (8 * k)) & 0xffU));
    }
    result.append(reinterpret_cast<const char*>(buf.GetBufferPointer()), n);
    return result;
}

absl::StatusOr<hello> decode_hello(const wire::Hello& it)
{
    hello result{it.name()->str(), it.address()->str(), instance_id{it.receiver()}, {}};
    if (result.name.size() > max_member_name_bytes ||
        result.address.size() > max_member_address_bytes ||
        it.proof()->size() != result.proof.size())
    {
        return absl::InvalidArgumentError("a field of the hello is out of range");
    }
    std::copy(it.proof()->begin(), it.proof()->end(), result.proof.begin());
    return result;
}

/// The slots of a renewal are the only field without a limit of its own. A vector of slots shared
/// by many renewals could decode to many times the length of the frame.
absl::Status check_slots(const wire::Frame& root, std::size_t frame_bytes)
{
    std::size_t total = 0;
    for (flatbuffers::uoffset_t k = 0; k != root.messages()->size(); ++k)
    {
        if (root.messages_type()->GetEnum<wire::Body>(k) != wire::Body::SlotRenewal)
        {
            continue;
        }
        const auto* slots = root.messages()->GetAs<wire::SlotRenewal>(k)->slots();
        total += slots == nullptr ? 0 : slots->size();
    }
    return total * sizeof(wire::HeldSlot) <= frame_bytes
               ? absl::OkStatus()
               : absl::InvalidArgumentError("several renewals share a vector of slots");
}

absl::Status check_root(const wire::Frame& root, std::size_t frame_bytes)
{
    const auto* types = root.messages_type();
    if (types == nullptr)
    {
        return frame_bytes <= max_frame_bytes
                   ? absl::OkStatus()
                   : absl::OutOfRangeError("a frame without messages exceeds the size limit");
    }
    if (types->size() > max_frame_messages)
    {
        return absl::InvalidArgumentError("the frame has too many messages");
    }
    const auto settings = [&](flatbuffers::uoffset_t k)
    { return types->GetEnum<wire::Body>(k) == wire::Body::SettingsContent; };
    bool present = false;
    for (flatbuffers::uoffset_t k = 0; k != types->size(); ++k)
    {
        present = present || settings(k);
    }
    if (present && types->size() != 1)
    {
        return absl::InvalidArgumentError("a frame with settings contains other messages");
    }
    if (!present && frame_bytes > max_frame_bytes)
    {
        return absl::OutOfRangeError("a frame without settings exceeds the size limit");
    }
    return check_slots(root, frame_bytes);
}

absl::Status decode_messages(const wire::Frame& root, time_point now, std::vector<message>& out)
{
    const auto n = root.messages() == nullptr ? 0 : root.messages()->size();
    for (flatbuffers::uoffset_t k = 0; k != n; ++k)
    {
        auto msg = internal::decode_body(root.messages_type()->GetEnum<wire::Body>(k),
                                         root.messages()->Get(k), now);
        if (!msg.ok())
        {
            return msg.status();
        }
        out.push_back(std::move(*msg));
    }
    return absl::OkStatus();
}

absl::StatusOr<frame> decode_root(const wire::Frame& root, std::size_t frame_bytes, time_point now)
{
    if (auto status = check_root(root, frame_bytes); !status.ok())
    {
        return status;
    }
    frame result{instance_id{root.sender()}, root.incarnation(), std::nullopt, {}};
    if (root.hello() != nullptr)
    {
        auto sender_hello = decode_hello(*root.hello());
        if (!sender_hello.ok())
        {
            return sender_hello.status();
        }
        result.sender_hello = std::move(*sender_hello);
    }
    if (auto status = decode_messages(root, now, result.messages); !status.ok())
    {
        return status;
    }
    return result;
}

} // namespace

absl::StatusOr<std::string> encode_frame(const frame& value, time_point now)
{
    if (auto status = check_messages(value.messages); !status.ok())
    {
        return status;
    }
    flatbuffers::FlatBufferBuilder buf;
    buf.Finish(encode_root(buf, value, now));
    if (buf.GetSize() > size_limit(value.messages))
    {
        return absl::ResourceExhaustedError("the frame exceeds the size limit");
    }
    return with_prefix(buf);
}

absl::StatusOr<std::size_t>
read_frame_length(const std::array<std::uint8_t, frame_prefix_bytes>& prefix, std::size_t max_bytes)
{
    std::size_t n = 0;
    for (std::size_t k = 0; k != frame_prefix_bytes; ++k)
    {
        n |= static_cast<std::size_t>(prefix[k]) << (8 * k);
    }
    if (n == 0 || n > max_bytes)
    {
        return absl::OutOfRangeError(absl::StrCat(
            "a frame of ", n, " bytes is outside the allowed range of 1 to ", max_bytes));
    }
    return n;
}

absl::StatusOr<frame> decode_frame(std::string_view bytes, time_point now)
{
    if (bytes.size() > max_settings_frame_bytes)
    {
        return absl::OutOfRangeError("the frame exceeds the size limit");
    }
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier{data, bytes.size(), max_depth, max_tables};
    if (!verifier.VerifyBuffer<wire::Frame>(nullptr))
    {
        return absl::InvalidArgumentError("the bytes are not a valid frame");
    }
    const auto& root = *wire::GetFrame(data);
    if (root.version() != frame_version)
    {
        return absl::UnimplementedError(
            absl::StrCat("frame version ", root.version(), " is not supported"));
    }
    return decode_root(root, bytes.size(), now);
}

} // namespace mangovane

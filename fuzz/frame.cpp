// Codec of the frames between instances: guards against crashes, reads outside the frame, and
// frames that change when they are encoded again.
#include <vector>

#include "fuzz.hpp"
#include "mangovane/wire/codec.hpp"

using namespace mangovane;

namespace
{

void check_reencoded(const frame& received)
{
    const auto bytes = encode_frame(received, fuzz::now);
    if (!bytes.ok())
    {
        // A received frame may share tables, so its second encoding may exceed the size limit.
        fuzz::require(absl::IsResourceExhausted(bytes.status()));
        return;
    }
    const auto body = bytes->substr(frame_prefix_bytes);
    const auto again = decode_frame(body, fuzz::now);
    fuzz::require(again.ok() && *again == received);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::vector<char> aligned(data, data + size);
    const auto received = decode_frame({aligned.data(), aligned.size()}, fuzz::now);
    if (received.ok())
    {
        check_reencoded(*received);
    }
    return 0;
}

// Frames between instances: guards against crashes, reads outside the frame, and frames that change
// when they are sent again.
#include <vector>

#include "fuzz.hpp"
#include "mangovane/wire/codec.hpp"

using namespace mangovane;

namespace
{

void check_sent_again(const frame& received)
{
    const auto bytes = encode_frame(received, fuzz::now);
    if (!bytes.ok())
    {
        // Tables can be shared inside a received frame; sent again they may need more bytes.
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
        check_sent_again(*received);
    }
    return 0;
}

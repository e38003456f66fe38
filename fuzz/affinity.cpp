// Decoder of the callers' affinity tokens: guards against crashes and tokens that change when they
// are decoded and encoded again.
#include "fuzz.hpp"
#include "mangovane/net/caller_request.hpp"

using namespace mangovane;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto locations = decode_affinity(fuzz::text_of(data, size));
    fuzz::require(decode_affinity(encode_affinity(locations)) == locations);
    return 0;
}

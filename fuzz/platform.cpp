// Decoders of platform responses: guards against crashes and exceptions on any response body.
#include <algorithm>

#include "fuzz.hpp"
#include "mangovane/store/platform_codec.hpp"
#include "mangovane/store/request_target.hpp"

using namespace mangovane;

namespace
{

void check_row(const std::string& text)
{
    const auto row = decode_row(text);
    if (row.ok())
    {
        const auto segment = percent_encode(row->key);
        fuzz::require(segment.find_first_of("/?# ") == std::string::npos);
        fuzz::require(!encode_writes({{row->key, row->value, row->revision}}).empty());
    }
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto text = fuzz::text_of(data, size);
    check_row(text);
    const auto results = decode_results(text, 1);
    fuzz::require(!results.ok() || results->size() == 1);
    const auto list = decode_discovery_list(text);
    fuzz::require(list.ok() || absl::IsDataLoss(list.status()));
    return 0;
}

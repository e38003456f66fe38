// Parser of the endpoints' load reports: guards against crashes and against numbers that differ
// from the JSON text.
#include <boost/json.hpp>

#include "fuzz.hpp"
#include "mangovane/net/load_report.hpp"

using namespace mangovane;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto text = fuzz::text_of(data, size);
    const auto report = parse_load_report(text, endpoint_id{1}, fuzz::now);
    if (report)
    {
        const auto value = boost::json::parse(text);
        const auto& obj = value.as_object();
        fuzz::require(obj.at("epoch").to_number<std::uint64_t>() == report->epoch);
        fuzz::require(obj.at("in_flight").to_number<std::uint32_t>() == report->in_flight);
    }
    return 0;
}

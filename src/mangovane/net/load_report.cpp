// Parsing of load reports.
#include "mangovane/net/load_report.hpp"

#include <boost/json.hpp>

namespace mangovane
{

namespace
{

/// A numeric member of the report; empty if it is missing or out of range. Uses an error code of
/// its own, because `to_number` clears the code passed to it on success.
template <class T>
std::optional<T> number_in(const boost::json::object& obj, const char* name)
{
    const auto* member = obj.if_contains(name);
    if (member == nullptr || !member->is_number())
    {
        return std::nullopt;
    }
    boost::system::error_code ec;
    const auto result = member->to_number<T>(ec);
    return ec ? std::nullopt : std::optional{result};
}

} // namespace

std::optional<endpoint_report>
parse_load_report(const std::string& text, endpoint_id endpoint, time_point sampled_at)
{
    boost::system::error_code ec;
    const auto value = boost::json::parse(text, ec);
    const auto* obj = ec ? nullptr : value.if_object();
    if (obj == nullptr)
    {
        return std::nullopt;
    }
    const auto epoch = number_in<std::uint64_t>(*obj, "epoch");
    const auto in_flight = number_in<std::uint32_t>(*obj, "in_flight");
    if (!epoch || !in_flight)
    {
        return std::nullopt;
    }
    endpoint_report result;
    result.endpoint = endpoint;
    result.sampled_at = sampled_at;
    result.epoch = *epoch;
    result.in_flight = *in_flight;
    const auto* warm = obj->if_contains("warm");
    const auto* leaving = obj->if_contains("leaving");
    result.warm = warm == nullptr || !warm->is_bool() || warm->as_bool();
    result.leaving = leaving != nullptr && leaving->is_bool() && leaving->as_bool();
    return result;
}

} // namespace mangovane

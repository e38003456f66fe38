// JSON of the fleet status. Tables of member pointers are used for reading and writing.
#include "mangovane/net/status_json.hpp"

#include <array>
#include <exception>
#include <span>
#include <variant>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace mangovane
{

namespace
{

namespace json = boost::json;

template <class Owner>
struct json_field
{
    std::string_view key;
    std::variant<std::string Owner::*, std::uint32_t Owner::*, std::uint64_t Owner::*> member;
};

constexpr std::array<json_field<instance_status>, 4> instance_fields{{
    {"name", &instance_status::name},
    {"domain", &instance_status::domain},
    {"state", &instance_status::state},
    {"settings_version", &instance_status::settings_version},
}};

constexpr std::array<json_field<endpoint_status>, 8> endpoint_fields{{
    {"name", &endpoint_status::name},
    {"service", &endpoint_status::service},
    {"domain", &endpoint_status::domain},
    {"state", &endpoint_status::state},
    {"load", &endpoint_status::load},
    {"allowed", &endpoint_status::allowed},
    {"ramp", &endpoint_status::ramp},
    {"owner", &endpoint_status::owner},
}};

json::string_view view_of(std::string_view text)
{
    return {text.data(), text.size()};
}

template <class Owner, std::size_t N>
json::array write_list(const std::vector<Owner>& list,
                       const std::array<json_field<Owner>, N>& fields)
{
    json::array result;
    for (const auto& it : list)
    {
        json::object obj;
        for (const auto& row : fields)
        {
            std::visit([&](auto member) { obj[view_of(row.key)] = it.*member; }, row.member);
        }
        result.push_back(std::move(obj));
    }
    return result;
}

template <class Owner, std::size_t N>
std::vector<Owner> read_list(const json::value& list,
                             const std::array<json_field<Owner>, N>& fields)
{
    std::vector<Owner> result;
    for (const auto& it : list.as_array())
    {
        Owner entry;
        for (const auto& row : fields)
        {
            const auto& value = it.at(view_of(row.key));
            std::visit(
                [&](auto member)
                {
                    using type = std::remove_reference_t<decltype(entry.*member)>;
                    entry.*member = json::value_to<type>(value);
                },
                row.member);
        }
        result.push_back(std::move(entry));
    }
    return result;
}

} // namespace

std::string to_json(const fleet_status& status)
{
    json::object result;
    result["instances"] = write_list(status.instances, instance_fields);
    result["endpoints"] = write_list(status.endpoints, endpoint_fields);
    return json::serialize(result);
}

absl::StatusOr<fleet_status> parse_status(std::string_view text)
{
    try
    {
        const auto root = json::parse(view_of(text));
        fleet_status result;
        result.instances = read_list(root.at("instances"), instance_fields);
        result.endpoints = read_list(root.at("endpoints"), endpoint_fields);
        return result;
    }
    catch (const std::exception& ex)
    {
        return absl::DataLossError(absl::StrCat("unreadable status: ", ex.what()));
    }
}

} // namespace mangovane

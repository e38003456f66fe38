// Implementation of the assignment of JSON values to settings.
#include "mangovane/settings/setting_value.hpp"

#include <cmath>
#include <numeric>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace mangovane::internal
{

namespace
{

namespace json = boost::json;
using value_error = std::optional<std::string>;

value_error out_of_range(const setting_range& range, std::string_view unit)
{
    return absl::StrCat("out of range: must be ", number_text(range.lowest), " to ",
                        number_text(range.highest), unit.empty() ? "" : " ", std::string{unit});
}

/// Reads a number in any JSON representation and checks its range.
value_error read_number(const json::value& value,
                        const setting_range& range,
                        std::string_view unit,
                        double& out)
{
    json::error_code ec;
    const auto number = value.is_number() ? value.to_number<double>(ec) : 0.0;
    if (!value.is_number() || ec)
    {
        return "wrong type: must be a number";
    }
    if (!(number >= range.lowest && number <= range.highest))
    {
        return out_of_range(range, unit);
    }
    out = number;
    return std::nullopt;
}

value_error read_integer(const json::value& value,
                         const setting_range& range,
                         std::string_view unit,
                         std::uint32_t& out)
{
    double number = 0;
    if (auto error = read_number(value, range, unit, number))
    {
        return error;
    }
    if (std::floor(number) != number)
    {
        return "wrong type: must be an integer";
    }
    out = static_cast<std::uint32_t>(number);
    return std::nullopt;
}

template <class Row>
value_error read(const Row&, const json::value& value, bool& out)
{
    if (!value.is_bool())
    {
        return "wrong type: must be true or false";
    }
    out = value.get_bool();
    return std::nullopt;
}

template <class Row>
value_error read(const Row& row, const json::value& value, double& out)
{
    return read_number(value, row.range, row.unit, out);
}

template <class Row>
value_error read(const Row& row, const json::value& value, std::uint32_t& out)
{
    return read_integer(value, row.range, row.unit, out);
}

template <class Row>
value_error read(const Row& row, const json::value& value, std::uint16_t& out)
{
    std::uint32_t number = out;
    auto error = read_integer(value, row.range, row.unit, number);
    out = static_cast<std::uint16_t>(number);
    return error;
}

template <class Row, class Rep, class Period>
value_error read(const Row& row, const json::value& value, std::chrono::duration<Rep, Period>& out)
{
    auto number = static_cast<std::uint32_t>(out.count());
    auto error = read_integer(value, row.range, row.unit, number);
    out = std::chrono::duration<Rep, Period>{number};
    return error;
}

template <class Row>
value_error read(const Row&, const json::value& value, request_class& out)
{
    const auto found = value.is_string()
                           ? request_class_from(std::string_view{value.get_string().data(),
                                                                 value.get_string().size()})
                           : std::nullopt;
    if (!found)
    {
        return "must be \"interactive\", \"standard\" or \"overnight\"";
    }
    out = *found;
    return std::nullopt;
}

template <class Row>
value_error read(const Row&, const json::value& value, service_kind& out)
{
    if (!value.is_string() || (value.get_string() != "model" && value.get_string() != "plain"))
    {
        return "must be \"model\" or \"plain\"";
    }
    out = value.get_string() == "plain" ? service_kind::plain : service_kind::model;
    return std::nullopt;
}

template <class Row>
value_error read(const Row&, const json::value& value, std::vector<std::string>& out)
{
    auto list = string_list(value);
    if (!list)
    {
        return "wrong type: must be a list of names";
    }
    out = std::move(*list);
    return std::nullopt;
}

template <class Row>
value_error read(const Row& row, const json::value& value, std::vector<model_id>& out)
{
    std::vector<std::string> names;
    auto error = read(row, value, names);
    for (const auto& it : names)
    {
        out.push_back(model_id::of(it));
    }
    return error;
}

template <class Row>
value_error
read(const Row& row, const json::value& value, std::array<std::uint32_t, request_class_count>& out)
{
    if (!value.is_array() || value.get_array().size() != out.size())
    {
        return "wrong type: must be a list of 3 integers";
    }
    auto shares = out;
    for (std::size_t n = 0; n != shares.size(); ++n)
    {
        if (auto error = read_integer(value.get_array()[n], row.range, row.unit, shares[n]))
        {
            return error;
        }
    }
    if (std::accumulate(shares.begin(), shares.end(), 0U) != 100)
    {
        return "the sum must be 100";
    }
    out = shares;
    return std::nullopt;
}

template <class Owner>
value_error assign(const setting_row<Owner>& row, const json::value& value, Owner& out)
{
    return std::visit([&](auto member) { return read(row, value, out.*member); }, row.field);
}

} // namespace

std::optional<std::vector<std::string>> string_list(const json::value& value)
{
    if (!value.is_array())
    {
        return std::nullopt;
    }
    std::vector<std::string> result;
    for (const auto& it : value.get_array())
    {
        if (!it.is_string() || it.get_string().empty())
        {
            return std::nullopt;
        }
        result.emplace_back(it.get_string().data(), it.get_string().size());
    }
    return result;
}

value_error
assign_setting(const setting_row<node_values>& row, const json::value& value, node_values& out)
{
    return assign(row, value, out);
}

value_error assign_setting(const setting_row<service_policy>& row,
                           const json::value& value,
                           service_policy& out)
{
    return assign(row, value, out);
}

} // namespace mangovane::internal

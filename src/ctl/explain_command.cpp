// Command that asks an instance where a request would go.
#include <array>
#include <iostream>
#include <string_view>

#include <absl/strings/str_cat.h>
#include <boost/beast/http/status.hpp>
#include <boost/url/url.hpp>

#include "ctl/commands.hpp"
#include "ctl/http_get.hpp"
#include "ctl/output.hpp"
#include "mangovane/net/address.hpp"

namespace mangovane::ctl
{

namespace
{

namespace json = boost::json;
namespace http = boost::beast::http;

std::string explain_target(const command_line& line)
{
    boost::urls::url result{"/explain"};
    for (const auto& [name, value] : line.explained)
    {
        if (!value.empty())
        {
            result.params().append({name, value});
        }
    }
    return std::string{result.buffer()};
}

/// The fields of an object that are no list, one a row.
result_table summary_table(const json::object& explanation)
{
    result_table result{{"field", "value"}, {}};
    for (const auto& it : explanation)
    {
        if (it.key() != "endpoints")
        {
            result.rows.emplace_back(json::array{it.key(), it.value()});
        }
    }
    return result;
}

result_table endpoint_table(const json::object& explanation)
{
    static constexpr std::array columns{
        "endpoint", "domain",   "version", "chosen",      "excluded",      "avoided",
        "cold",     "admits",   "load",    "estimate",    "over_bound",    "age_ms",
        "slots",    "can_hold", "speed",   "held_tokens", "token_capacity"};
    result_table result{{columns.begin(), columns.end()}, {}};
    for (const auto& it : explanation.at("endpoints").as_array())
    {
        json::array row;
        for (const auto* column : columns)
        {
            row.push_back(it.as_object().at(column));
        }
        result.rows.push_back(std::move(row));
    }
    return result;
}

} // namespace

int explain(command_context& context)
{
    const auto& address = context.args().arguments[1];
    const auto endpoint = parse_address(address);
    if (!endpoint)
    {
        std::cerr << "mangovanectl: the address must be ip:port\n";
        return exit_usage;
    }
    const auto reply = http_get(*endpoint, explain_target(context.args()), {});
    if (!reply.ok())
    {
        return report_error(
            absl::UnavailableError(absl::StrCat(address, ": ", reply.status().message())));
    }
    if (reply->result() != http::status::ok)
    {
        std::cerr << "mangovanectl: " << address << " responded with HTTP status "
                  << reply->result_int() << ": " << reply->body();
        return exit_failed;
    }
    if (context.args().json)
    {
        std::cout << reply->body();
        return exit_ok;
    }
    boost::system::error_code ec;
    const auto content = json::parse(reply->body(), ec);
    if (ec || !content.is_object() || !content.as_object().contains("endpoints"))
    {
        std::cerr << "mangovanectl: " << address << " gave no explanation\n";
        return exit_failed;
    }
    std::cout << to_text(summary_table(content.as_object())) << '\n'
              << to_text(endpoint_table(content.as_object()));
    return exit_ok;
}

} // namespace mangovane::ctl

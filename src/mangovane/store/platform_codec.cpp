// Implementation of the codec of the platform's JSON messages.
#include "mangovane/store/platform_codec.hpp"

#include <utility>

#include <absl/strings/str_cat.h>
#include <boost/json.hpp>

namespace mangovane
{

namespace json = boost::json;

namespace
{

template <class T>
T number(const json::object& obj, std::string_view name)
{
    return obj.at({name.data(), name.size()}).to_number<T>();
}

std::string text_of(const json::object& obj, std::string_view name)
{
    return std::string{std::string_view{obj.at({name.data(), name.size()}).as_string()}};
}

bool flag(const json::object& obj, std::string_view name)
{
    const auto* found = obj.if_contains({name.data(), name.size()});
    return found != nullptr && found->as_bool();
}

table_row row_of(const json::object& obj)
{
    return {text_of(obj, "key"), text_of(obj, "value"), number<std::uint64_t>(obj, "revision")};
}

/// A missing row is encoded as null.
write_result result_of(const json::object& obj)
{
    const auto& current = obj.at("current");
    return {flag(obj, "applied"), current.is_null() ? table_row{} : row_of(current.as_object())};
}

listed_instance instance_of(const json::object& obj)
{
    return {text_of(obj, "name"), text_of(obj, "address"), domain_id::of(text_of(obj, "domain")),
            flag(obj, "leaving")};
}

endpoint_info endpoint_of(const json::object& obj)
{
    endpoint_info info;
    info.name = text_of(obj, "name");
    info.id = endpoint_id::of(info.name);
    info.service = service_id::of(text_of(obj, "service"));
    info.domain_name = text_of(obj, "domain");
    info.domain = domain_id::of(info.domain_name);
    info.address = text_of(obj, "address");
    info.leaving = flag(obj, "leaving");
    if (const auto* models = obj.if_contains("models"))
    {
        for (const auto& it : models->as_array())
        {
            info.models.push_back(model_id::of(std::string_view{it.as_string()}));
        }
    }
    return info;
}

/// The rows of a list that `read` accepts. One that it cannot read is another writer's and names
/// nothing; the others hold.
template <class Row>
std::vector<Row> readable_rows(const json::value& list, Row (*read)(const json::object&))
{
    std::vector<Row> result;
    for (const auto& it : list.as_array())
    {
        try
        {
            result.push_back(read(it.as_object()));
        }
        catch (const std::exception&)
        {
            continue;
        }
    }
    return result;
}

/// Decodes the text with `read`; exceptions of Boost.JSON for an unexpected structure become a
/// status.
template <class Read>
auto decode(std::string_view text, Read read)
    -> absl::StatusOr<decltype(read(std::declval<const json::object&>()))>
{
    try
    {
        return read(json::parse({text.data(), text.size()}).as_object());
    }
    catch (const std::exception& ex)
    {
        return absl::DataLossError(absl::StrCat("malformed response of the platform: ", ex.what()));
    }
}

} // namespace

std::string encode_writes(const std::vector<table_write>& writes)
{
    json::array list;
    for (const auto& it : writes)
    {
        list.push_back(json::object{
            {"key", it.key}, {"value", it.value}, {"expected_revision", it.expected_revision}});
    }
    return json::serialize(json::object{{"writes", std::move(list)}});
}

absl::StatusOr<table_row> decode_row(std::string_view text)
{
    return decode(text, &row_of);
}

absl::StatusOr<std::vector<write_result>> decode_results(std::string_view text, std::size_t count)
{
    auto results = decode(text,
                          [](const json::object& obj)
                          {
                              std::vector<write_result> list;
                              for (const auto& it : obj.at("results").as_array())
                              {
                                  list.push_back(result_of(it.as_object()));
                              }
                              return list;
                          });
    if (results.ok() && results->size() != count)
    {
        return absl::DataLossError("the platform's response has the wrong number of write results");
    }
    return results;
}

absl::StatusOr<discovery_list> decode_discovery_list(std::string_view text)
{
    return decode(text,
                  [](const json::object& obj)
                  {
                      return discovery_list{readable_rows(obj.at("instances"), &instance_of),
                                            readable_rows(obj.at("endpoints"), &endpoint_of)};
                  });
}

} // namespace mangovane

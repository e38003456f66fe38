// Reading of settings.
#include "mangovane/settings/parse.hpp"

#include <exception>
#include <utility>

#include <boost/json.hpp>

#include "mangovane/core/error_kind.hpp"

namespace mangovane
{

namespace
{

namespace json = boost::json;

service_policy read_service(const std::string& name, const json::object& obj)
{
    service_policy result;
    result.id = service_id::of(name);
    result.name = name;
    result.kind = obj.at("kind").as_string() == "plain" ? service_kind::plain : service_kind::model;
    if (const auto* models = obj.if_contains("models"))
    {
        for (const auto& it : models->as_array())
        {
            result.models.push_back(model_id::of(json::value_to<std::string>(it)));
        }
    }
    return result;
}

void read_node(const json::object& obj, settings_snapshot& out)
{
    const auto* acc = obj.if_contains("account");
    if (acc == nullptr)
    {
        return;
    }
    account_policy policy;
    policy.name = json::value_to<std::string>(acc->at("name"));
    policy.id = account_id::of(policy.name);
    policy.path = json::value_to<std::string>(obj.at("path"));
    for (const auto& it : acc->at("key_sha256").as_array())
    {
        out.accounts_by_key.emplace(json::value_to<std::string>(it), policy.id);
    }
    out.accounts.emplace(policy.id, std::move(policy));
}

} // namespace

absl::StatusOr<settings_ptr> parse_settings(std::string text, std::uint64_t version)
{
    try
    {
        auto result = std::make_shared<settings_snapshot>();
        const auto root = json::parse(text);
        for (const auto& it : root.at("services").as_object())
        {
            auto policy = read_service(std::string{it.key()}, it.value().as_object());
            result->services.emplace(policy.id, std::move(policy));
        }
        for (const auto& it : root.at("nodes").as_array())
        {
            read_node(it.as_object(), *result);
        }
        result->stamp = settings_stamp{version, hash_bytes(text)};
        result->text = std::move(text);
        return settings_ptr{std::move(result)};
    }
    catch (const std::exception& ex)
    {
        return make_error(error_kind::malformed_request, ex.what());
    }
}

} // namespace mangovane

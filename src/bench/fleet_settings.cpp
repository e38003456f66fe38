// Generation of the settings and endpoints of modelled fleets.
#include "bench/fleet_settings.hpp"

#include <stdexcept>

#include <absl/strings/str_cat.h>

#include "mangovane/settings/digest.hpp"
#include "mangovane/settings/parse.hpp"

namespace mangovane::bench
{

namespace
{

constexpr std::size_t accounts_per_group = 100;
constexpr std::uint64_t settings_version = 1;

std::string group_path(std::size_t account)
{
    return absl::StrCat("/group-", account / accounts_per_group);
}

void append_group(std::string& out, std::size_t account)
{
    absl::StrAppend(&out, ",\n{\"path\":\"", group_path(account), "\",\"parent\":\"/\"}");
}

void append_account(std::string& out, std::size_t n, bool limited)
{
    const auto name = account_name(n);
    const auto* limits = limited ? ",\"rate_per_s\":1000,\"concurrency\":2000" : "";
    absl::StrAppend(&out, ",\n{\"path\":\"", group_path(n), "/", name, "\",\"parent\":\"",
                    group_path(n), "\",\"settings\":{\"default_deadline_ms\":30000", limits,
                    "},\"account\":{\"name\":\"", name, "\",\"key_sha256\":[\"", sha256_hex(name),
                    "\"]}}");
}

endpoint_info make_endpoint(const fleet_shape& shape, std::size_t n)
{
    const bool engine = n < shape.engines;
    endpoint_info result;
    result.name = absl::StrCat(engine ? "engine-" : "plain-", n);
    result.id = endpoint_id::of(result.name);
    result.service = engine ? model_service() : plain_service();
    result.domain_name = domain_name(n % shape.domains);
    result.domain = domain_id::of(result.domain_name);
    result.address = "127.0.0.1:1";
    return result;
}

} // namespace

std::string domain_name(std::size_t n)
{
    return absl::StrCat("domain-", n);
}

std::string account_name(std::size_t n)
{
    return absl::StrCat("account-", n);
}

service_id model_service()
{
    return service_id::of("engines");
}

service_id plain_service()
{
    return service_id::of("plain");
}

model_id served_model()
{
    return model_id::of("model");
}

std::string settings_text(const fleet_shape& shape)
{
    std::string result = "{\"services\":{\"engines\":{\"kind\":\"model\",\"models\":[\"model\"]},"
                         "\"plain\":{\"kind\":\"plain\"}},\"nodes\":[{\"path\":\"/\"}";
    for (std::size_t n = 0; n != shape.accounts; ++n)
    {
        if (n % accounts_per_group == 0)
        {
            append_group(result, n);
        }
        append_account(result, n, shape.limited);
    }
    return result + "]}";
}

settings_ptr make_settings(const fleet_shape& shape)
{
    auto result = parse_settings(settings_text(shape), settings_version);
    if (!result.ok())
    {
        throw std::logic_error{std::string{result.status().message()}};
    }
    return *result;
}

endpoints_ptr make_endpoints(const fleet_shape& shape)
{
    std::vector<endpoint_info> result;
    for (std::size_t n = 0; n != shape.engines + shape.plain_endpoints; ++n)
    {
        result.push_back(make_endpoint(shape, n));
    }
    return std::make_shared<endpoint_directory>(std::move(result));
}

} // namespace mangovane::bench

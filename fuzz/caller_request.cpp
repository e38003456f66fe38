// Parser of caller requests, from bytes to the routed request: guards against crashes, credentials
// that are forwarded, and forwarded requests whose target is not a path.
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "fuzz.hpp"
#include "mangovane/net/caller_request.hpp"
#include "mangovane/settings/digest.hpp"

using namespace mangovane;
namespace http = boost::beast::http;

namespace
{

constexpr std::uint32_t header_limit = 8 * 1024;
constexpr std::uint64_t body_limit = 64 * 1024;

settings_snapshot make_settings()
{
    settings_snapshot result;
    service_policy model;
    model.id = service_id::of("oro-model");
    model.name = "oro-model";
    model.models = {model_id::of("oro-small")};
    result.services.emplace(model.id, model);
    service_policy plain;
    plain.id = service_id::of("ebi-ledger");
    plain.name = "ebi-ledger";
    plain.kind = service_kind::plain;
    result.services.emplace(plain.id, plain);
    account_policy account;
    account.id = account_id::of("parish");
    account.name = "parish";
    account.default_deadline = seconds{5};
    result.accounts.emplace(account.id, account);
    result.accounts_by_key_hash.emplace(sha256_hex("secret"), account.id);
    return result;
}

void check(const http::request<http::string_body>& req, const settings_snapshot& settings)
{
    const auto result = parse_caller_request(req.base(), req.body(), settings, fuzz::now);
    if (!result.ok())
    {
        fuzz::require(kind_of(result.status()).has_value());
        return;
    }
    const auto sent = endpoint_head(held_head{req.base()}, result->endpoint_target);
    fuzz::require(sent.count("Authorization") == 0);
    fuzz::require(sent.target().starts_with('/'));
    fuzz::require(result->routed.deadline > fuzz::now);
    fuzz::require(result->routed.key.empty() || !result->routed.idempotent ||
                  req.method() != http::verb::post);
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    static const auto settings = make_settings();
    http::request_parser<http::string_body> parser;
    parser.header_limit(header_limit);
    parser.body_limit(body_limit);
    parser.eager(true);
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(data, size), ec);
    if (!ec && parser.is_done())
    {
        check(parser.get(), settings);
    }
    return 0;
}

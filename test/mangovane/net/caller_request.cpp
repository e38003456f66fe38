// Tests of the parsing of callers' HTTP requests: authentication, deadline, target and
// affinity. A caller that could choose its account by a header would use another account's limits;
// a request that is wrongly taken as idempotent could be executed twice.
#include "mangovane/net/caller_request.hpp"

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <doctest/doctest.h>

#include "mangovane/core/error_kind.hpp"
#include "mangovane/settings/digest.hpp"

using namespace mangovane;
namespace http = boost::beast::http;

namespace
{

using http_request = http::request<http::string_body>;

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
    result.accounts.emplace(account.id, account);
    result.accounts_by_key_hash.emplace(sha256_hex("secret"), account.id);
    return result;
}

http_request make_request(http::verb method, const char* target, const char* body)
{
    http_request req{method, target, 11};
    req.set("Authorization", "Bearer secret");
    req.set(header::deadline_ms, "5000");
    req.body() = body;
    return req;
}

absl::StatusOr<caller_request>
parse(const http_request& req, const settings_snapshot& settings, time_point now)
{
    return parse_caller_request(req.base(), req.body(), settings, now);
}

error_kind kind_of_result(const http_request& req)
{
    const auto result = parse(req, make_settings(), time_point{seconds{1}});
    REQUIRE_FALSE(result.ok());
    return *kind_of(result.status());
}

} // namespace

TEST_CASE("a caller's request")
{
    auto req = make_request(http::verb::post, "/v1/chat/completions",
                            R"({"model":"oro-small","messages":[]})");

    SUBCASE("without a known key is refused, even if a header names an account")
    {
        req.set("Authorization", "Bearer guess");
        req.set("Mangovane-Account", "parish");
        CHECK(kind_of_result(req) == error_kind::unauthenticated);
    }

    SUBCASE("without a deadline, or with an invalid one, is refused")
    {
        req.erase(header::deadline_ms);
        CHECK(kind_of_result(req) == error_kind::deadline_invalid);
        for (const auto* text : {"0", "-5", "soon", "99999999999"})
        {
            req.set(header::deadline_ms, text);
            CHECK(kind_of_result(req) == error_kind::deadline_invalid);
        }
    }

    SUBCASE("whose body is not a chat completion is refused")
    {
        for (const auto* body :
             {"", "[]", "{", R"({"model":1,"messages":[]})", R"({"model":"oro-small"})"})
        {
            req.body() = body;
            CHECK(kind_of_result(req) == error_kind::malformed_request);
        }
    }

    SUBCASE("for an unknown model or service is refused")
    {
        req.body() = R"({"model":"other","messages":[]})";
        CHECK(kind_of_result(req) == error_kind::unknown_service);
        CHECK(kind_of_result(make_request(http::verb::post, "/services/other/x", "")) ==
              error_kind::unknown_service);
    }

    SUBCASE("is forwarded without its credentials")
    {
        const auto result = parse(req, make_settings(), time_point{});
        REQUIRE(result.ok());
        const auto sent = endpoint_head(held_head{req.base()}, result->endpoint_target);
        CHECK(sent.count("Authorization") == 0);
        CHECK(sent[header::deadline_ms] == "5000");
        CHECK(sent.target() == "/v1/chat/completions");
        CHECK(result->routed.idempotent);

        SUBCASE("and is not idempotent if it has an idempotency key")
        {
            req.set(header::idempotency_key, "k");
            CHECK_FALSE(parse(req, make_settings(), time_point{})->routed.idempotent);
        }
    }

    SUBCASE("to a plain service is idempotent only if its method is GET or HEAD")
    {
        const auto settings = make_settings();
        const auto get = make_request(http::verb::get, "/services/ebi-ledger/pledges?id=1", "");
        const auto read = parse(get, settings, time_point{});
        REQUIRE(read.ok());
        CHECK(read->routed.idempotent);
        CHECK(read->endpoint_target == "/pledges?id=1");
        const auto query = make_request(http::verb::get, "/services/ebi-ledger?id=1", "");
        // A target that consists of a query alone would be refused by endpoints.
        CHECK(parse(query, settings, time_point{})->endpoint_target == "/?id=1");
        const auto post = make_request(http::verb::post, "/services/ebi-ledger/pledges", "{}");
        CHECK_FALSE(parse(post, settings, time_point{})->routed.idempotent);
    }
}

TEST_CASE("an affinity token")
{
    const chat_locations locations{{endpoint_id{0xabc}, endpoint_id{0x1}}};

    SUBCASE("decodes to the locations that were encoded")
    {
        CHECK(decode_affinity(encode_affinity(locations)) == locations);
    }

    SUBCASE("that is malformed is ignored")
    {
        for (const auto* token :
             {"", "x", "abc.zz", "..", "ffffffffffffffffffff", "0", "0.abc", "abc.0"})
        {
            CHECK(decode_affinity(token).empty());
        }
    }
}

// Guards against a configuration of the platform that is converted to wrong settings, stores API
// keys in plain text, or is applied although it is malformed.
#include "manifest.hpp"

#include <doctest/doctest.h>

#include "mangovane/settings/digest.hpp"

using namespace mangovane;
using namespace mangovane::platform;

namespace
{

const std::string manifest = R"({"version":7,"routes":[
{"name":"r1","host":"Desk.example","prefix":"/a/","type":"streaming","timeout_ms":12000,"goal_ms":1000,
 "priority":1,"backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":1,
 "public":false,"sticky":true,"resumable":false,"gap_goal_ms":600},
{"name":"r2","host":"desk.example","prefix":"/b/","type":"idempotent","timeout_ms":800,"goal_ms":300,
 "priority":2,"service":"s2","max_attempts":2,"public":true}],
"services":[{"name":"s1","warmup_s":3.0,"warmup_per_s":9.1,"engine":{"slots":64,"kv_capacity":449897}},
 {"name":"s2","warmup_s":0.0,"warmup_per_s":0.0}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":1},{"name":"t2","api_keys":[]}]})";

absl::StatusOr<settings_ptr> read(const std::string& text, std::set<std::string> out = {})
{
    return decode_settings(encode_operator_state({text, std::move(out)}), 42);
}

/// The manifest with one substring replaced.
std::string with(const std::string& from, const std::string& to)
{
    auto text = manifest;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("a configuration of the platform")
{
    const auto settings = read(manifest, {"bogota-a"});
    REQUIRE(settings.ok());
    const auto& it = **settings;

    SUBCASE("is converted to routes")
    {
        const auto* stream = it.routes.match("desk.example", "/a/x");
        REQUIRE(stream != nullptr);
        CHECK(stream->kind == route_kind::stream);
        CHECK_FALSE(stream->may_repeat());
        CHECK(stream->sticky);
        CHECK(stream->targets.size() == 2);
        CHECK(stream->timeout == milliseconds{12000});
        CHECK(stream->event_gap_goal == milliseconds{600});
        const auto* read_route = it.routes.match("desk.example", "/b/");
        CHECK(read_route->may_repeat());
        CHECK(read_route->anonymous);
        CHECK(read_route->max_attempts == 2);
    }
    SUBCASE("is converted to services, with the rate they accept while cold")
    {
        const auto* model = it.find_service(service_id::of("s1"));
        CHECK(model->kind == service_kind::model);
        CHECK(model->cold_requests_per_s == doctest::Approx(9.1));
        CHECK(model->cold_time == milliseconds{3000});
        CHECK(model->token_capacity == 449897);
        CHECK(it.find_service(service_id::of("s2"))->kind == service_kind::plain);
    }
    SUBCASE("is converted to client accounts, whose API keys are stored only as hashes")
    {
        CHECK(it.accounts.size() == 2);
        CHECK(it.accounts_by_key_hash.at(sha256_hex("k2")) == account_id::of("t1"));
        CHECK(it.find_account(account_id::of("t1"))->urgency == 1);
        CHECK_FALSE(it.find_account(account_id::of("t2"))->urgency);
    }
    SUBCASE("is converted to HTTP limits and to the failure domains that are taken out")
    {
        CHECK(it.request_limits.idle_timeout == milliseconds{15000});
        CHECK(it.request_limits.body_bytes == 4194304);
        CHECK(it.domains_out.contains(domain_id::of("bogota-a")));
    }
    SUBCASE("is decoded by another instance to equal settings")
    {
        const auto again = decode_settings(it.text, 42);
        REQUIRE(again.ok());
        CHECK(**again == it);
    }
    SUBCASE("is compressed for other instances; a large one would saturate a slow link")
    {
        operator_state large{manifest, {}};
        std::string routes;
        for (int n = 0; n != 1200; ++n)
        {
            routes +=
                R"({"name":"r)" + std::to_string(n) + R"(x","host":"h.example","prefix":"/p)" +
                std::to_string(n * 7919) + R"(/","type":"unsafe","timeout_ms":800,)" +
                R"("goal_ms":300,"priority":2,"service":"s2","max_attempts":1,"public":false},)";
        }
        large.manifest.insert(large.manifest.find("[") + 1, routes);
        const auto text = encode_operator_state(large);
        CHECK(text.size() * 8 < large.manifest.size());
        CHECK(*decode_operator_state(text) == large);
    }
    SUBCASE("is rejected if it was corrupted in transit")
    {
        for (const std::size_t place : {std::size_t{0}, it.text.size() / 2, it.text.size() - 1})
        {
            auto damaged = it.text;
            damaged[place] = static_cast<char>(damaged[place] ^ 0x5a);
            CHECK_FALSE(decode_settings(damaged, 42).ok());
        }
        CHECK_FALSE(decode_settings("99999999999\nx", 42).ok());
        CHECK_FALSE(decode_settings("", 42).ok());
    }
}

TEST_CASE("a name that holds what the text of a state uses itself")
{
    // The text was then another one for all instances, and the configuration in it unreadable.
    SUBCASE("of a domain is read as it was written")
    {
        for (const std::string odd : {"a\nb", "x,a,b", "a\tb", "\tb", "%zz", "%2C", "a%", "&+ #%",
                                      "a\r\nb", "caf\u00e9", "\xff"})
        {
            CAPTURE(odd);
            const operator_state state{manifest, {"ikeja-a", odd}, {}};
            const auto text = encode_operator_state(state);
            CHECK(*decode_operator_state(text) == state);
            const auto settings = decode_settings(text, 42);
            REQUIRE(settings.ok());
            CHECK((*settings)->domains_out.contains(domain_id::of("ikeja-a")));
            CHECK((*settings)->domains_out.contains(domain_id::of(odd)));
            CHECK((*settings)->domains_out.size() == 2);
            CHECK_FALSE((*settings)->routes.all().empty());
        }
    }
    SUBCASE("of a service, or the text of its order, leaves the other orders readable")
    {
        for (const std::string odd :
             {"a\nb", "x,a,b", ",\tb", "&+ #%", "\"", "\xff", "\xed\xa0\x80"})
        {
            CAPTURE(odd);
            operator_state state{manifest, {}, {}};
            state.rollouts["s1"] = {R"({"service":"s1","to":"v2","duration_s":12})", 40};
            state.rollouts[odd] = {odd, 41};
            const auto text = encode_operator_state(state);
            CHECK(*decode_operator_state(text) == state);
            const auto settings = decode_settings(text, 42);
            REQUIRE(settings.ok());
            CHECK((*settings)->rollouts.size() == 1);
        }
    }
}

TEST_CASE("orders of rollouts")
{
    operator_state state{manifest, {"ikeja-a"}, {}};
    const auto orders = [&]
    { return (*decode_settings(encode_operator_state(state), 42))->rollouts; };
    state.rollouts["s1"] = {R"({"service":"s1","to":"v2","duration_s":12})", 40};

    SUBCASE("are part of the settings that instances send to each other")
    {
        CHECK(*decode_operator_state(encode_operator_state(state)) == state);
        const rollout_order expected{
            service_id::of("s1"), "s1", "v2", {0, 40}, milliseconds{12000}};
        CHECK(orders() == std::vector<rollout_order>{expected});
    }
    SUBCASE("leave the text as it was when there are none (guards against instances of an earlier "
            "version that cannot read it)")
    {
        state.rollouts.clear();
        state.domains_out = {"a", "b"};
        state.manifest = "{}";
        const auto* const old_text = "\x78\x9c\x4b\xd4\x49\xe2\xaa\xae\x05";
        CHECK(encode_operator_state(state).starts_with(std::string{"6\n"} + old_text));
    }
    SUBCASE("that are invalid are left out")
    {
        for (const auto* text :
             {"", "{}", R"({"service":"s1","duration_s":12})",
              R"({"service":"s1","to":"","duration_s":12})", R"({"service":"s1","to":"v2"})",
              R"({"service":"s1","to":"v2","duration_s":0})",
              R"({"service":"s2","to":"v2","duration_s":12})"})
        {
            state.rollouts["s1"].text = text;
            CHECK(orders().empty());
        }
        state.rollouts = {{"s9", {R"({"service":"s9","to":"v2","duration_s":12})", 40}}};
        CHECK(orders().empty());
    }
}

TEST_CASE("a malformed configuration is rejected as a whole")
{
    for (const auto& text :
         {std::string{"{"}, std::string{"[]"}, std::string{}, with("\"/a/\"", "\"a\""),
          with("\"streaming\"", "\"other\""), with("\"service\":\"s2\",\"max", "\"max"),
          with("[\"k1\",\"k2\"]", "7"), with("[\"k1\",\"k2\"]", "[7]"),
          with("\"public\":true", "\"public\":1"), with("{\"name\":\"s2\",", "{")})
    {
        CAPTURE(text);
        CHECK_FALSE(read(text).ok());
    }
}

// Guards against invalid settings texts that are accepted, and against effective settings that
// differ from what the operator wrote.
#include "mangovane/settings/check.hpp"

#include <algorithm>
#include <fstream>
#include <random>
#include <sstream>

#include <doctest/doctest.h>

#include "mangovane/settings/parse.hpp"
#include "mangovane/settings/schema.hpp"
#include "mangovane/settings/tree_checks.hpp"

using namespace mangovane;

namespace
{

const std::string valid_text = R"({
  "services": {
    "oro-model": {"kind": "model", "models": ["oro-small"], "class_shares": [60, 30, 10]},
    "ebi-ledger": {"kind": "plain", "key_required": true, "warm_wait_ms": 250}
  },
  "nodes": [
    {"path": "/parish", "parent": "/west", "settings": {"rate_per_s": 20, "services": ["ebi-ledger"]},
     "account": {"name": "parish", "key_sha256": ["2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"]}},
    {"path": "/west", "parent": "/", "settings": {"weight": 3, "concurrency": 40}},
    {"path": "/", "settings": {"rate_per_s": 100.5, "class": "overnight"}}
  ],
  "domains_out": ["lekki-b"],
  "endpoints_drained": ["engine-3"]
})";

/// The errors of a tree with these nodes, as text.
std::string errors_of_nodes(const std::string& nodes)
{
    return to_text(
        check_settings(R"({"services": {"s": {"kind": "plain"}}, "nodes": [)" + nodes + "]}")
            .errors);
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

std::uint64_t first_letter(std::string_view name) noexcept
{
    return name.empty() ? 0 : static_cast<std::uint64_t>(name.front());
}

} // namespace

TEST_CASE("a valid text is resolved into effective settings")
{
    const auto settings = parse_settings(valid_text, 7);
    REQUIRE(settings.ok());
    const auto& snapshot = **settings;

    SUBCASE("a value is inherited from the nearest node that sets it, so a parent's change applies")
    {
        const auto* account = snapshot.find_account(account_id::of("parish"));
        REQUIRE(account != nullptr);
        CHECK(account->weight == 3);
        CHECK(account->default_class == request_class::overnight);
        CHECK(account->services == std::vector{service_id::of("ebi-ledger")});

        SUBCASE("limits are listed from the node to the root; a missing one would not be enforced")
        {
            REQUIRE(account->limits.size() == 3);
            CHECK(account->limits[0].path == "/parish");
            CHECK(account->limits[0].rate_per_s == 20);
            CHECK(account->limits[1].concurrency == 40);
            CHECK(account->limits[2].path == "/");
        }
        SUBCASE("a rate without a burst still admits requests")
        {
            CHECK(account->limits[0].burst == 20);
            CHECK(account->limits[2].burst == 101);
        }
    }
    SUBCASE("service settings override the defaults individually")
    {
        const auto* service = snapshot.find_service(service_id::of("ebi-ledger"));
        REQUIRE(service != nullptr);
        CHECK(service->key_required);
        CHECK(service->warm_wait == milliseconds{250});
        CHECK(service->load_bound == 1.25);
        CHECK(snapshot.find_service(service_id::of("oro-model"))->class_shares[1] == 30);
    }
    SUBCASE("domains taken out and drained endpoints are listed by id, so they get no requests")
    {
        CHECK(snapshot.domains_out.contains(domain_id::of("lekki-b")));
        CHECK(snapshot.endpoints_drained.contains(endpoint_id::of("engine-3")));
        CHECK(snapshot.stamp == settings_stamp{7, hash_bytes(valid_text)});
    }
    SUBCASE("the origin of each effective value is the node that an operator has to edit")
    {
        const auto values = effective_settings(check_settings(valid_text).tree, "/parish");
        const auto value_of = [&](const std::string& key)
        {
            return *std::find_if(values.begin(), values.end(),
                                 [&](const effective_value& it) { return it.key == key; });
        };
        CHECK(value_of("weight") == effective_value{"weight", "3", "/west"});
        CHECK(value_of("class") == effective_value{"class", "\"overnight\"", "/"});
        CHECK(value_of("rate_per_s") == effective_value{"rate_per_s", "20", "/parish"});
        CHECK(value_of("burst") == effective_value{"burst", "0", "default"});
    }
}

TEST_CASE("all errors of a text are reported at once, with node and line")
{
    SUBCASE("several errors in one text; one at a time would take an edit and a check for each")
    {
        const auto checked = check_settings(R"({
  "services": {"s": {"kind": "odd", "min_slots": 0}},
  "nodes": [
    {"path": "/", "settings": {"wieght": 2,
      "burst": "many"}},
    {"path": "/a", "parent": "/", "settings": {"weight": 1001, "concurrency": 1.5}}
  ],
  "extra": 1
})");
        const auto text = to_text(checked.errors);
        INFO(text);
        CHECK(has(text, "line 2: services/s: kind: must be"));
        CHECK(has(text, "line 2: services/s: min_slots: out of range"));
        CHECK(has(text, "line 4: /: wieght: unknown key"));
        CHECK(has(text, "line 5: /: burst: wrong type"));
        CHECK(has(text, "line 6: /a: weight: out of range"));
        CHECK(has(text, "line 6: /a: concurrency: wrong type: must be an integer"));
        CHECK(has(text, "line 8: settings: extra: unknown key"));
        CHECK(checked.errors.size() == 7);
    }
    SUBCASE("invalid JSON is reported with its line")
    {
        CHECK(has(to_text(check_settings("{\n\"nodes\": [\n}").errors), "line 3: settings"));
        CHECK(has(to_text(check_settings("{} x").errors), "not valid JSON"));
        CHECK_FALSE(check_settings("").valid());
        CHECK_FALSE(check_settings("[]").valid());
    }
    SUBCASE("a duplicate key is rejected; the JSON parser silently keeps the last")
    {
        const auto text =
            errors_of_nodes(R"({"path": "/", "settings": {"weight": 1, "weight": 2}})");
        CHECK(has(text, "duplicate key"));
    }
    SUBCASE(
        "a parent that is unknown, missing or in a cycle is rejected; inheritance would never end")
    {
        CHECK(has(errors_of_nodes(R"({"path": "/a", "parent": "/b"})"), "unknown node /b"));
        CHECK(has(errors_of_nodes(R"({"path": "/a"})"), "parent: missing"));
        CHECK(has(
            errors_of_nodes(R"({"path": "/a", "parent": "/b"}, {"path": "/b", "parent": "/a"})"),
            "cycle"));
        CHECK(has(errors_of_nodes(R"({"path": "/a", "parent": "/a"})"), "cycle"));
    }
    SUBCASE("duplicate paths, accounts and keys; a second one would replace the first")
    {
        const std::string key(64, 'a');
        const auto node = [&](const std::string& path, const std::string& name)
        {
            return R"({"path": ")" + path + R"(", "parent": "/", "account": {"name": ")" + name +
                   R"(", "key_sha256": [")" + key + R"("]}})";
        };
        const auto text =
            errors_of_nodes(R"({"path": "/"},)" + node("/a", "x") + "," + node("/a", "x"));
        CHECK(has(text, "path: duplicate"));
        CHECK(has(text, "duplicate account x"));
        CHECK(has(text, "duplicate key hash"));
        CHECK(has(
            errors_of_nodes(R"({"path": "/", "account": {"name": "a", "key_sha256": ["ABC"]}})"),
            "64 lower-case"));
    }
    SUBCASE("references to unknown services and models")
    {
        const auto text =
            errors_of_nodes(R"({"path": "/", "settings": {"services": ["t"], "models": ["m"]}})");
        CHECK(has(text, "unknown service t"));
        CHECK(has(text, "unknown model m"));
    }
    SUBCASE("two names with the same hash; they would share limits and permissions")
    {
        internal::unresolved_tree tree;
        for (const auto* name : {"alpha", "aleph"})
        {
            service_policy policy;
            policy.name = name;
            tree.services.push_back({policy, {}});
        }
        internal::error_list errors;
        internal::check_names(tree, &first_letter, errors);
        CHECK_FALSE(errors.empty());
    }
}

TEST_CASE("a child cannot exceed its parent in a capped setting")
{
    const auto child = [](const std::string& parent, const std::string& own)
    {
        return errors_of_nodes(R"({"path": "/", "settings": {)" + parent +
                               R"(}}, {"path": "/a", "parent": "/", "settings": {)" + own + "}}");
    };
    CHECK(has(child(R"("rate_per_s": 5)", R"("rate_per_s": 6)"), "rate_per_s: 6 is above 5"));
    CHECK(has(child(R"("burst": 5)", R"("burst": 6)"), "above"));
    CHECK(has(child(R"("concurrency": 5)", R"("concurrency": 0)"), "above"));
    CHECK(has(child(R"("class": "overnight", "highest_class": "standard")",
                    R"("highest_class": "interactive")"),
              "above"));
    CHECK(has(child(R"("domains": ["x"])", R"("domains": ["y"])"), "above"));
    CHECK(has(child(R"("services": ["s"])", R"("services": [])"), "above"));
    CHECK(child(R"("weight": 1)", R"("weight": 9)").empty());
    CHECK(child(R"("domains": ["x", "y"], "rate_per_s": 5)", R"("domains": ["y"], "rate_per_s": 5)")
              .empty());
}

TEST_CASE("corrupted texts are rejected or parsed, but never crash the process")
{
    std::mt19937 random{20261204};
    std::uint32_t readable = 0;
    for (int n = 0; n != 20'000; ++n)
    {
        auto text = valid_text;
        for (int m = 0; m != 3; ++m)
        {
            text[random() % text.size()] = "{}[]\",:0-a\\ "[random() % 13];
        }
        const bool valid = check_settings(text).valid();
        readable += valid ? 1 : 0;
        if (valid)
        {
            CHECK(parse_settings(text, 1).ok());
        }
    }
    CHECK(readable > 0);
}

TEST_CASE("the reference page equals the one generated from the schema")
{
    std::ifstream file{MANGOVANE_SOURCE_FOLDER "/docs/settings.md"};
    std::ostringstream text;
    text << file.rdbuf();
    CHECK(text.str() == schema_markdown());
}

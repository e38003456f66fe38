// Tests of the parser of endpoint entries. Entries come from other programs and may have any
// content; a malformed one must not become an endpoint.
#include "endpoint_entry.hpp"

#include <doctest/doctest.h>

using namespace mangovane;
using namespace mangovane::platform;

namespace
{

const std::string entry = R"({"service":"s1","address":"10.128.0.9:8080","zone":"bogota-a",
"version":"v1","slots":64,"state":"ready","warmup_left_ms":1500,"sequence":4,"born":1786128280242})";

std::string with(const std::string& from, const std::string& to)
{
    auto text = entry;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("the entry of an endpoint is parsed")
{
    const auto it = parse_endpoint_entry("i-1", entry, 9);
    REQUIRE(it.ok());
    CHECK(it->revision == 9);
    CHECK(it->cold_left == milliseconds{1500});
    REQUIRE(it->info);
    CHECK(it->info->name == "i-1");
    CHECK(it->info->service == service_id::of("s1"));
    CHECK(it->info->domain == domain_id::of("bogota-a"));
    CHECK(it->info->epoch == 1786128280242ULL);
    CHECK(it->info->version == "v1");
    CHECK(it->info->slots == 64);
    CHECK_FALSE(it->info->leaving);
    CHECK(parse_endpoint_entry("i-1", with("ready", "draining"), 9)->info->leaving);
}

TEST_CASE("a malformed entry is rejected")
{
    for (const auto& text :
         {std::string{"\xff\xfe"}, std::string{"[]"}, with("ready", "sleeping"),
          with("\"10.128.0.9:8080\"", "\"nowhere\""), with("\"10.128.0.9:8080\"", "5"),
          with("\"slots\":64", "\"slots\":\"many\""), with("1500", "\"soon\""), with("1500", "-1"),
          with("\"service\":\"s1\",", ""), with("1786128280242", "\"x\""), with("\"v1\"", "1")})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_endpoint_entry("i-1", text, 9).ok());
    }
}

TEST_CASE("an entry that could make the instances fail that read it names no endpoint")
{
    const std::string deep(200'000, '[');
    for (const auto& text : {deep, "{\"service\":" + deep, with("64", deep), with("1500", "1e300"),
                             with("1500", "1e999"), with("1500", "99999999999999999999"),
                             with("1500", "9007199254740992"), with("1786128280242", "1e300"),
                             with("1786128280242", "-1"), with("8080", "65536"), with("8080", "0"),
                             with("8080", "-1"), with("8080", "99999999999999999999")})
    {
        CAPTURE(text.substr(0, 200));
        CHECK_FALSE(parse_endpoint_entry("i-1", text, 9).ok());
    }
    // A long but possible warm-up.
    CHECK(parse_endpoint_entry("i-1", with("1500", "31536000000"), 9)->cold_left ==
          milliseconds{31'536'000'000});
}

TEST_CASE("an entry that other instances would not accept names no endpoint")
{
    // They refuse a whole message because of one such row, and with it all other endpoints.
    const std::string longest(256, 'z');
    const auto with_zone = [](const std::string& zone) { return with("bogota-a", zone); };
    const auto with_version = [](const std::string& version)
    { return with("\"v1\"", "\"" + version + "\""); };

    SUBCASE("because of its zone")
    {
        CHECK(parse_endpoint_entry("i-1", with_zone(longest), 9).ok());
        CHECK_FALSE(parse_endpoint_entry("i-1", with_zone(longest + "z"), 9).ok());
        CHECK_FALSE(parse_endpoint_entry("i-1", with_zone("a\\nb"), 9).ok());
    }
    SUBCASE("because of its version, which is also sent in header fields")
    {
        CHECK(parse_endpoint_entry("i-1", with_version(longest), 9).ok());
        CHECK_FALSE(parse_endpoint_entry("i-1", with_version(longest + "z"), 9).ok());
        CHECK_FALSE(parse_endpoint_entry("i-1", with_version("a\\r\\nb"), 9).ok());
    }
    SUBCASE("because of its name")
    {
        for (const std::string name : {"i-1", "a&b", "a+b", "a#b", "a%zz", "a b", "caf\u00e9"})
        {
            CAPTURE(name);
            CHECK(is_endpoint_name(name));
        }
        CHECK(is_endpoint_name(longest));
        CHECK_FALSE(is_endpoint_name(longest + "z"));
        CHECK_FALSE(is_endpoint_name(""));
        CHECK_FALSE(is_endpoint_name("a\r\nb"));
        CHECK_FALSE(is_endpoint_name(std::string(1, '\0')));
    }
}

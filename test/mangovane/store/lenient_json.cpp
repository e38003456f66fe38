// Tests of the lenient parser of JSON. One text that is not valid Unicode must not make the others
// unreadable that stand beside it.
#include "mangovane/store/lenient_json.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

/// The text of a JSON string that stands beside other values; empty if the whole is not parsed.
std::string parsed(const std::string& string)
{
    const auto value = parse_lenient_json("[1,\"" + string + "\",{\"a\":\"b\"}]");
    return value ? std::string{value->as_array().at(1).as_string()} : std::string{};
}

} // namespace

TEST_CASE("a JSON string")
{
    SUBCASE("that is valid is parsed as usual")
    {
        CHECK(parsed("a") == "a");
        CHECK(parsed("\\ud83d\\ude00") == "\xf0\x9f\x98\x80");
        CHECK(parsed("\\\\ud800") == "\\ud800");
        CHECK(parsed("\\u0000x") == std::string("\0x", 2));
        CHECK_FALSE(has_replaced_characters(parsed("\\ud83d\\ude00")));
    }
    SUBCASE("with an unpaired surrogate has U+FFFD in its place")
    {
        for (const std::string surrogate : {"\\ud800", "\\uDBFF", "\\udc00", "\\uDfFf"})
        {
            CAPTURE(surrogate);
            CHECK(parsed("a" + surrogate) == "a\xef\xbf\xbd");
            CHECK(parsed(surrogate + "b") == "\xef\xbf\xbd"
                                             "b");
            CHECK(parsed(surrogate + "\\n\\u0041") == "\xef\xbf\xbd\nA");
            CHECK(has_replaced_characters(parsed(surrogate)));
        }
        CHECK(parsed("\\ud800\\ud83d\\ude00") == "\xef\xbf\xbd\xf0\x9f\x98\x80");
        CHECK(parsed("\\ude00\\ud83d") == "\xef\xbf\xbd\xef\xbf\xbd");
    }
    SUBCASE("with bytes that are not UTF-8 keeps them")
    {
        for (const std::string bytes : {"\xff", "a\x80", "\xed\xa0\x80", "\xc3(", "\xe2\x82"})
        {
            CAPTURE(bytes);
            CHECK(parsed("x" + bytes + "y") == "x" + bytes + "y");
        }
    }
}

TEST_CASE("a text that is not JSON is not parsed")
{
    for (const std::string text : {"", "[1", "\\", "[\"\\u\"]", "[\"\\ud8\"]", "[\"a\\\"]", "\xff"})
    {
        CAPTURE(text);
        CHECK_FALSE(parse_lenient_json(text));
    }
}

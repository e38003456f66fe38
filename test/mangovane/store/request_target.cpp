// Tests of request targets. A text that is not encoded, or that the server decodes to another one,
// makes the call one for another key, or no request at all.
#include "mangovane/store/request_target.hpp"

#include <map>

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("a request target")
{
    SUBCASE("has a key with reserved characters as a single path segment")
    {
        CHECK(percent_encode("claim/a b?%") == "claim%2Fa%20b%3F%25");
    }
    SUBCASE("without parameters is the path")
    {
        CHECK(request_target("/rows-get", {}) == "/rows-get");
    }
    SUBCASE("has the parameters in their order, also empty ones")
    {
        CHECK(request_target("/rows-get", {{"table", "t"}, {"part", ""}, {"from", "a+b"}}) ==
              "/rows-get?table=t&part=&from=a%2Bb");
    }
    SUBCASE("decodes to the same texts, whatever bytes they hold")
    {
        std::string all;
        for (int n = 0; n != 256; ++n)
        {
            all += static_cast<char>(n);
        }
        const auto target = request_target("/p", {{"x", all}, {"y&=", "&y=#%zz+ %41"}});
        const auto url = boost::urls::parse_origin_form(target);
        REQUIRE(url.has_value());
        std::map<std::string, std::string> decoded;
        for (const auto& it : url->params())
        {
            CHECK(decoded.emplace(it.key, it.value).second);
        }
        CHECK(decoded == std::map<std::string, std::string>{{"x", all}, {"y&=", "&y=#%zz+ %41"}});
    }
}

// Tests of the parsing of load reports. A malformed report read as 0 requests in flight would
// attract more requests to the endpoint.
#include "mangovane/net/load_report.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("a load report")
{
    const auto read = [](const char* text)
    { return parse_load_report(text, endpoint_id{7}, time_point{seconds{1}}); };

    SUBCASE("may contain the largest numbers of each type")
    {
        const auto report = read(R"({"epoch":18446744073709551615,"in_flight":4294967295})");
        REQUIRE(report);
        CHECK(report->endpoint == endpoint_id{7});
        CHECK(report->epoch == UINT64_MAX);
        CHECK(report->in_flight == UINT32_MAX);
        CHECK(report->warm);
    }

    SUBCASE("with a number out of range is rejected, not read as 0")
    {
        for (const auto* text :
             {R"({"epoch":18446744073709551616,"in_flight":3})", R"({"epoch":-1,"in_flight":3})",
              R"({"epoch":1,"in_flight":-3})", R"({"epoch":1,"in_flight":4294967296})"})
        {
            CAPTURE(text);
            CHECK_FALSE(read(text));
        }
    }

    SUBCASE("that is truncated or incomplete is rejected")
    {
        for (const auto* text : {"", "{", "[]", R"({"epoch":1})", R"({"in_flight":1})"})
        {
            CHECK_FALSE(read(text));
        }
    }
}

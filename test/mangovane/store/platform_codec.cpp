// Tests of the platform's JSON texts.
#include "mangovane/store/platform_codec.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("texts of the platform")
{
    SUBCASE("a key with reserved characters stays one path segment")
    {
        CHECK(encode_path_segment("claim/a b?%") == "claim%2Fa%20b%3F%25");
    }

    SUBCASE("a revision above 2^63 is kept, so a condition is never compared with a rounded one")
    {
        const auto row = decode_row(R"({"key":"a","value":"v","revision":18446744073709551615})");
        REQUIRE(row.ok());
        CHECK(row->revision == UINT64_MAX);
    }

    SUBCASE("results that do not belong to the writes are an error, not a win")
    {
        const auto* text = R"({"results":[{"applied":true,"current":null}]})";
        CHECK(decode_results(text, 1).ok());
        CHECK(absl::IsDataLoss(decode_results(text, 2).status()));
        CHECK(absl::IsDataLoss(decode_results("{}", 1).status()));
        CHECK(absl::IsDataLoss(decode_results(R"({"results":[{"applied":true}]})", 1).status()));
    }

    SUBCASE("a list without optional fields is read; a cut one is an error, not an empty list")
    {
        const auto list = decode_discovery_list(
            R"({"instances":[{"name":"i","address":"a","domain":"d"}],
                "endpoints":[{"name":"e","service":"s","domain":"d","address":"b","models":["m"],
                              "leaving":true}]})");
        REQUIRE(list.ok());
        CHECK(list->instances.front() == listed_instance{"i", "a", domain_id::of("d"), false});
        CHECK(list->endpoints.front().id == endpoint_id::of("e"));
        CHECK(list->endpoints.front().models.front() == model_id::of("m"));
        CHECK(list->endpoints.front().leaving);
        CHECK(!decode_discovery_list(R"({"instances":[]})").ok());
    }
}

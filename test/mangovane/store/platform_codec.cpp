// Guards against platform messages whose keys, revisions or lists are altered by the JSON codec,
// and against a malformed response that is taken for a success.
#include "mangovane/store/platform_codec.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("the platform's messages")
{
    SUBCASE("keep a revision above 2^63; a rounded one would fail every condition")
    {
        const auto row = decode_row(R"({"key":"a","value":"v","revision":18446744073709551615})");
        REQUIRE(row.ok());
        CHECK(row->revision == UINT64_MAX);
    }

    SUBCASE("with results that do not match the writes are an error, not a successful write")
    {
        const auto* text = R"({"results":[{"applied":true,"current":null}]})";
        CHECK(decode_results(text, 1).ok());
        CHECK(absl::IsDataLoss(decode_results(text, 2).status()));
        CHECK(absl::IsDataLoss(decode_results("{}", 1).status()));
        CHECK(absl::IsDataLoss(decode_results(R"({"results":[{"applied":true}]})", 1).status()));
    }

    SUBCASE("may omit optional fields of a list; a truncated list is an error, not an empty list")
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
    SUBCASE(
        "with a row that cannot be read have the other rows of the list (guards against one entry "
        "of another writer that leaves an instance without endpoints)")
    {
        for (const std::string odd :
             {"{}", "5", "null", "[]", "\"e\"", R"({"name":7,"address":"a","domain":"d"})",
              R"({"name":"x","address":"a","domain":"d","service":"s","leaving":1})"})
        {
            CAPTURE(odd);
            const auto list = decode_discovery_list(
                R"({"instances":[)" + odd + R"(,{"name":"i","address":"a","domain":"d"}],
                "endpoints":[)" +
                odd + R"(,{"name":"e","service":"s","domain":"d","address":"b"}]})");
            REQUIRE(list.ok());
            CHECK(list->instances.size() == 1);
            CHECK(list->endpoints.size() == 1);
        }
    }
}

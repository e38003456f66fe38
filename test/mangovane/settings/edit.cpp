// Tests of text edits, which must keep the operators' formatting.
#include "mangovane/settings/edit.hpp"

#include <doctest/doctest.h>

#include "mangovane/settings/check.hpp"

using namespace mangovane;

TEST_CASE("a name is added to a list")
{
    const std::string text = "{\n  \"services\": {},\n  \"nodes\": []\n}\n";
    const auto out = edit_list(text, "domains_out", "lekki-b", list_edit::add);
    REQUIRE(out.ok());
    CHECK(check_settings(*out).tree.domains_out == std::vector<std::string>{"lekki-b"});

    SUBCASE("the rest of the text is unchanged; a reformatted text would hide the change in a diff")
    {
        CHECK(line_diff(text, *out) == "+  \"domains_out\": [\"lekki-b\"],\n");
    }
    SUBCASE("adding it again changes nothing; a duplicate would remain after one removal")
    {
        CHECK(*edit_list(*out, "domains_out", "lekki-b", list_edit::add) == *out);
    }
    SUBCASE("it is removed again, and other names stay")
    {
        const auto two = *edit_list(*out, "domains_out", "agege-c", list_edit::add);
        const auto back = *edit_list(two, "domains_out", "lekki-b", list_edit::remove);
        CHECK(check_settings(back).tree.domains_out == std::vector<std::string>{"agege-c"});
        CHECK(*edit_list(back, "domains_out", "other", list_edit::remove) == back);
    }
    SUBCASE("an invalid text is not edited")
    {
        CHECK_FALSE(edit_list("{", "domains_out", "x", list_edit::add).ok());
    }
}

TEST_CASE("a diff shows only the changed lines")
{
    CHECK(line_diff("a\nb\nc", "a\nb\nc").empty());
    CHECK(line_diff("a\nb\nc\nd", "a\nx\nc\ny\nd") == "-b\n+x\n+y\n");
    CHECK(line_diff("", "a") == "-\n+a\n");
}

// Guards against a stream that breaks off inside an event and looks complete.
#include "mangovane/net/event_boundary.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("a stream is between two events")
{
    event_boundary boundary;
    CHECK_FALSE(boundary.inside_event());

    SUBCASE("after an empty line, in whatever pieces it arrives")
    {
        for (const std::string text : {"id: 1\ndata: x\n\n", "data: x\r\n\r\n"})
        {
            event_boundary pieces;
            for (std::size_t n = 0; n != text.size(); ++n)
            {
                pieces.add(text.substr(n, 1));
                CHECK(pieces.inside_event() == (n + 1 != text.size()));
            }
            boundary.add(text);
            CHECK_FALSE(boundary.inside_event());
        }
    }
    SUBCASE("and tells when an event has ended")
    {
        CHECK_FALSE(boundary.add("id: 1\ndata: x\r"));
        CHECK_FALSE(boundary.add("\n\r"));
        CHECK(boundary.add("\nid: 2"));
        CHECK(boundary.inside_event());

        SUBCASE("but not twice, and not for bytes of the next one")
        {
            CHECK_FALSE(boundary.add("\n"));
            CHECK(boundary.add("\n"));
            CHECK_FALSE(boundary.add("i"));
            CHECK_FALSE(boundary.add("d: 3\nda"));
            CHECK(boundary.add("ta: x\n\nid: 4\ndata: y\n\n"));
        }
    }
    SUBCASE("but not after a line of the next one")
    {
        boundary.add("data: x\n\ndata: y\n");
        CHECK(boundary.inside_event());
        boundary.add("\n");
        CHECK_FALSE(boundary.inside_event());
    }
}

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
    SUBCASE("and knows whether a whole event has arrived")
    {
        boundary.add("id: 1\ndata: x\r");
        CHECK_FALSE(boundary.has_event());
        boundary.add("\n\r");
        CHECK_FALSE(boundary.has_event());
        boundary.add("\nid: 2");
        CHECK(boundary.has_event());
        CHECK(boundary.inside_event());
    }
    SUBCASE("but not after a line of the next one")
    {
        boundary.add("data: x\n\ndata: y\n");
        CHECK(boundary.inside_event());
        boundary.add("\n");
        CHECK_FALSE(boundary.inside_event());
    }
}

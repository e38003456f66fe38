// Tests of the splitting of streams: an answer that goes on elsewhere must have each event once.
#include "mangovane/net/sse_splitter.hpp"

#include <string>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: piece\n\n";
}

} // namespace

TEST_CASE("a stream of events")
{
    sse_splitter splitter;

    SUBCASE("passes whole events on as they end, wherever the bytes are divided")
    {
        const auto text = event(1) + event(2) + event(3);
        std::string out;
        for (const char byte : text)
        {
            out += splitter.parse({&byte, 1});
        }
        CHECK(out == text);
        CHECK(splitter.last_id() == 3);
    }
    SUBCASE("that breaks inside an event and goes on elsewhere")
    {
        auto out = splitter.parse(event(1) + event(2) + "id: 3\nda");
        CHECK(out == event(1) + event(2));
        splitter.discard_partial();

        SUBCASE("has the broken event once, whole")
        {
            out += splitter.parse(event(3) + event(4));
            CHECK(out == event(1) + event(2) + event(3) + event(4));
        }
        SUBCASE("does not have events twice that the other endpoint repeats")
        {
            out += splitter.parse(event(1) + event(2) + event(3));
            CHECK(out == event(1) + event(2) + event(3));
        }
        SUBCASE("ends where an event is missing")
        {
            CHECK(splitter.parse(event(4)).empty());
            CHECK(splitter.broken());
        }
    }
    SUBCASE("with other line ends and without ids is passed on as well")
    {
        CHECK(splitter.parse("data: x\r\n\r\n") == "data: x\r\n\r\n");
        CHECK_FALSE(splitter.last_id());
    }
}

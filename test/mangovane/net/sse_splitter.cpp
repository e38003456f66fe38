// Tests of the splitting of event streams. A stream that breaks and is resumed at another endpoint
// must contain each event exactly once: repeated events are dropped, missing ones end the stream.
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

    SUBCASE("returns each event once it is complete, however the bytes are split")
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
    SUBCASE("that breaks inside an event and is resumed at another endpoint")
    {
        auto out = splitter.parse(event(1) + event(2) + "id: 3\nda");
        CHECK(out == event(1) + event(2));
        splitter.begin_attempt();

        SUBCASE("contains the broken event once and complete")
        {
            out += splitter.parse(event(3) + event(4));
            CHECK(out == event(1) + event(2) + event(3) + event(4));
        }
        SUBCASE("drops events that the other endpoint repeats")
        {
            out += splitter.parse(event(1) + event(2) + event(3));
            CHECK(out == event(1) + event(2) + event(3));
        }
        SUBCASE("ends at a missing event")
        {
            CHECK(splitter.parse(event(4)).empty());
            CHECK(splitter.has_gap());

            SUBCASE("and is resumed after the last event before it")
            {
                CHECK(splitter.last_id() == 2);
                splitter.begin_attempt();
                CHECK_FALSE(splitter.has_gap());
                CHECK(splitter.parse(event(3)) == event(3));
            }
        }
    }
    SUBCASE("that breaks inside its first event and begins anew at another endpoint")
    {
        // The second beginning was appended to the first one, and the joined event was passed on.
        for (std::size_t n = 0; n != event(0).size(); ++n)
        {
            CAPTURE(n);
            sse_splitter cut;
            CHECK(cut.parse(event(0).substr(0, n)).empty());
            cut.begin_attempt();
            CHECK(cut.parse(event(0) + event(1)) == event(0) + event(1));
            CHECK(cut.last_id() == 1);
        }
    }
    SUBCASE("can be resumed only while the ids of its events are readable")
    {
        CHECK(splitter.parse(event(1) + ": a comment\n\n") == event(1) + ": a comment\n\n");
        CHECK_FALSE(splitter.has_unnumbered_event());

        SUBCASE("which a missing one is not")
        {
            (void)splitter.parse("data: x\n\n");
            CHECK(splitter.has_unnumbered_event());
        }
        SUBCASE("nor one with other characters")
        {
            (void)splitter.parse("id: 2x\ndata: x\n\n");
            CHECK(splitter.has_unnumbered_event());
            CHECK(splitter.last_id() == 1);
        }
        SUBCASE("but one before CRLF is")
        {
            (void)splitter.parse("id: 2\r\ndata: x\r\n\r\n");
            CHECK_FALSE(splitter.has_unnumbered_event());
            CHECK(splitter.last_id() == 2);
        }
    }
    SUBCASE("does not hold an event without end")
    {
        // Bytes without end would otherwise fill the memory of the instance.
        const std::string piece(1000, 'x');
        std::size_t n = 0;
        while (!splitter.is_oversized() && n < 2 * sse_splitter::max_event_bytes)
        {
            CHECK(splitter.parse(piece).empty());
            n += piece.size();
        }
        CHECK(splitter.is_oversized());
        CHECK(n <= sse_splitter::max_event_bytes + piece.size());
        splitter.begin_attempt();
        CHECK_FALSE(splitter.is_oversized());
        CHECK(splitter.parse(event(1)) == event(1));
    }
    SUBCASE("may have CRLF line ends and events without ids")
    {
        CHECK(splitter.parse("data: x\r\n\r\n") == "data: x\r\n\r\n");
        CHECK(splitter.parse("data: y\n\r\n") == "data: y\n\r\n");
        CHECK_FALSE(splitter.last_id());
    }
}

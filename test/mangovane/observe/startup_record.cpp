// Tests of the record of a start. Without it, the log of an instance that does not serve after a
// restart does not tell which step it waits for.
#include "mangovane/observe/startup_record.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("the record of a start")
{
    const time_point start{seconds{100}};
    startup_record record{start};

    SUBCASE("names each step once, with its time")
    {
        CHECK(record.reach(startup_step::store_answered, start + milliseconds{920}) ==
              "event=startup_step step=store_answered ms=920");
        CHECK_FALSE(record.reach(startup_step::store_answered, start + milliseconds{990}));
    }
    SUBCASE("counts the requests of each second by outcome")
    {
        record.count("not_ready", start + milliseconds{100});
        record.count("not_ready", start + milliseconds{900});
        record.count("no_endpoint", start + milliseconds{950});
        record.count("ok", start + milliseconds{2100});
        CHECK(record.take_lines(start + milliseconds{999}).empty());
        const std::vector<std::string> first{
            "event=startup_second second=0 served=0 unserved=3 outcomes=no_endpoint:1,not_ready:2"};
        CHECK(record.take_lines(start + milliseconds{1050}) == first);

        SUBCASE("leaves out the seconds without requests")
        {
            const std::vector<std::string> later{
                "event=startup_second second=2 served=1 unserved=0 outcomes=none"};
            CHECK(record.take_lines(start + milliseconds{3050}) == later);
        }
        SUBCASE("does not count in a second whose line was written")
        {
            record.count("ok", start + milliseconds{990});
            CHECK(record.take_lines(start + milliseconds{1999}).empty());
        }
    }
    SUBCASE("ends with a summary, in which a step that was not reached stands out")
    {
        CHECK(record.reach(startup_step::listening, start));
        record.count("not_ready", start + milliseconds{100});
        record.count("not_ready", start + startup_record::length);
        const auto lines = record.take_lines(start + startup_record::length);
        REQUIRE(lines.size() == 2);
        CHECK(lines.back() ==
              "event=startup_summary listening_ms=0 store_answered_ms=-1 peer_heard_ms=-1 "
              "settings_in_force_ms=-1 endpoints_listed_ms=-1 ready_ms=-1 request_ended_ms=-1 "
              "request_served_ms=-1 served=0 unserved=1 outcomes=not_ready:1");
        CHECK(record.take_lines(start + 2 * startup_record::length).empty());
    }
}

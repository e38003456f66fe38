// Guards against a log of answers that grows with the number of parts that callers name.
#include "mangovane/quarantine/answer_log.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("a log of answers")
{
    const time_point start{seconds{1000}};
    answer_log log;

    SUBCASE("knows the last answer with a part")
    {
        CHECK_FALSE(log.last(1));
        log.record(1, start);
        log.record(1, start + seconds{2});
        CHECK(log.last(1) == start + seconds{2});
        CHECK_FALSE(log.last(2));
    }
    SUBCASE("forgets a part after two generations")
    {
        log.record(1, start);
        for (int n = 1; n != 70; ++n)
        {
            // Other parts of all shards.
            for (std::uint64_t part = 2; part != 200; ++part)
            {
                log.record(part, start + seconds{n});
            }
        }
        CHECK_FALSE(log.last(1));
        CHECK(log.last(2) == start + seconds{69});
    }
    SUBCASE("stays bounded when millions of parts occur once")
    {
        for (std::uint64_t part = 0; part != 200'000; ++part)
        {
            log.record(part, start);
        }
        CHECK(log.size() <= answer_log::capacity);
    }
}

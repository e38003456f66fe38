// Tests of the decision whether the process of an endpoint has ended. A connection that only seems
// to be open would let half of a response pass as whole.
#include "mangovane/net/end_evidence.hpp"

#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("a connection to an endpoint that refuses new ones")
{
    const connection_sample quiet{1, true, 0, min_silence};
    const std::vector<connection_sample> before{quiet};
    std::vector<connection_sample> after{quiet};

    SUBCASE("shows its process while it is open and quiet")
    {
        CHECK(any_remains(before, after));
        CHECK(any_shows_process(before, after));
    }
    SUBCASE("shows nothing while bytes may hold back its end")
    {
        SUBCASE("as they wait to be read")
        {
            after[0].unread = 1;
        }
        SUBCASE("as they still arrive")
        {
            after[0].silent_for = min_silence - milliseconds{1};
        }
        CHECK(any_remains(before, after));
        CHECK_FALSE(any_shows_process(before, after));
    }
    SUBCASE("shows nothing, also later, if it")
    {
        SUBCASE("has ended")
        {
            after[0].established = false;
        }
        SUBCASE("is gone")
        {
            after.clear();
        }
        SUBCASE("was made after the end, perhaps to the next process")
        {
            after[0].id = 2;
        }
        CHECK_FALSE(any_remains(before, after));
        CHECK_FALSE(any_shows_process(before, after));
    }
    SUBCASE("shows nothing if it had ended before")
    {
        const std::vector<connection_sample> ended{{1, false, 0, min_silence}};
        CHECK_FALSE(any_remains(ended, after));
        CHECK_FALSE(any_shows_process(ended, after));
    }
    SUBCASE("is enough beside others that show nothing")
    {
        const std::vector<connection_sample> both{quiet, {2, true, 0, min_silence}};
        CHECK(any_shows_process(
            both, std::vector<connection_sample>{{1, false, 0, min_silence}, both[1]}));
    }
}

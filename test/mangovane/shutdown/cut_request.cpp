// Guards against a stop whose log doesn't tell which requests it cut and when they were read.
#include "mangovane/shutdown/cut_request.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("the line of a request that a stop has cut")
{
    cut_request cut{"5d0", "review",           "i-7fec41cd",       1,
                    200,   milliseconds{3400}, milliseconds{4150}, milliseconds{7850}};

    SUBCASE("names the request, its endpoint and when it was read")
    {
        CHECK(log_line(cut) ==
              "event=request_cut request=5d0 route=review attempts=1 endpoint=i-7fec41cd "
              "status=200 read_after_ms=3400 ran_ms=4150 left_ms=7850");
    }
    SUBCASE("tells one that was read before the stop, or had no endpoint yet")
    {
        cut.read_after = milliseconds{-1200};
        cut.endpoint.clear();
        const auto text = log_line(cut);
        CHECK(text.find("endpoint=none") != std::string::npos);
        CHECK(text.find("read_after_ms=-1200") != std::string::npos);
    }
    SUBCASE("counts one that was read in the last millisecond before the stop as read before it")
    {
        const time_point stop_at{seconds{50}};
        CHECK(read_after_stop(stop_at - std::chrono::microseconds{300}, stop_at) ==
              milliseconds{-1});
        CHECK(read_after_stop(stop_at + std::chrono::microseconds{300}, stop_at) ==
              milliseconds{0});
    }
}

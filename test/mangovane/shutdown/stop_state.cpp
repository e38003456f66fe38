// Guards against a stop whose moments change after it has begun.
#include "mangovane/shutdown/stop_state.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("the state of a stop")
{
    const time_point start{seconds{100}};
    stop_state stop;
    CHECK_FALSE(stop.stopping());
    CHECK_FALSE(stop.schedule());

    SUBCASE("has the moments of its first beginning")
    {
        const auto first = make_stop_schedule(start, milliseconds{2500}, milliseconds{7550});
        stop.begin(first);
        stop.begin(make_stop_schedule(start + seconds{1}, milliseconds{0}, milliseconds{0}));
        CHECK(stop.stopping());
        CHECK(*stop.schedule() == first);
        CHECK(first.accept_until == start + milliseconds{2500});
        CHECK(first.cut_at == start + milliseconds{7550});

        SUBCASE("and counts what it has cut")
        {
            stop.count_cut();
            stop.count_cut();
            CHECK(stop.summary().cut == 2);
        }
    }
    SUBCASE("accepts nothing after the cut, however long its drain delay is")
    {
        const auto schedule = make_stop_schedule(start, seconds{10}, seconds{3});
        CHECK(schedule.accept_until == schedule.cut_at);
    }
}

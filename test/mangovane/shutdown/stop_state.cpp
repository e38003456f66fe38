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
    SUBCASE("accepts every request before it begins")
    {
        CHECK(stop.admit(start, time_point::max()));
        CHECK(stop.summary() == stop_summary{});
    }
    SUBCASE("accepts every request for a while, and then those that are sure to end in time")
    {
        const auto schedule = make_stop_schedule(start, milliseconds{2500}, milliseconds{7550});
        stop.begin(schedule);
        const auto late = schedule.accept_until + milliseconds{1};
        const auto last_deadline = schedule.cut_at - late_answer_margin;
        CHECK(stop.admit(schedule.accept_until, time_point::max()));
        CHECK(stop.admit(late, last_deadline));
        CHECK(stop.summary().refused == 0);
        CHECK_FALSE(stop.admit(late, last_deadline + milliseconds{1}));
        CHECK_FALSE(stop.admit(last_deadline, start + seconds{12}));
        CHECK_FALSE(stop.admit(late, time_point::max()));
        CHECK(stop.summary().refused == 3);
    }
    SUBCASE("accepts nothing after the cut, however long its drain delay is")
    {
        const auto schedule = make_stop_schedule(start, seconds{10}, seconds{3});
        CHECK(schedule.accept_until == schedule.cut_at);
        const auto none = make_stop_schedule(start, seconds{1}, milliseconds{-200});
        CHECK(none == stop_schedule{start, start, start});
    }
}

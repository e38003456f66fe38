// Tests of the pacing of endpoint lists. Guards against a reader that builds the full list for each
// of many instances that start together.
#include "mangovane/forward/list_pacer.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{100}};

std::size_t recipients_in(const std::vector<list_recipients>& round)
{
    std::size_t result = 0;
    for (const auto& it : round)
    {
        result += it.to.size();
    }
    return result;
}

} // namespace

TEST_CASE("requests for the endpoint list")
{
    list_pacer pacer;

    SUBCASE("of one instance are served at once")
    {
        pacer.request(instance_id{1}, 0, start);
        CHECK(pacer.take_round(start) == std::vector<list_recipients>{{0, {instance_id{1}}}});
        CHECK(pacer.take_round(start + seconds{1}).empty());

        SUBCASE("and not again while the list may be on its way")
        {
            pacer.request(instance_id{1}, 0, start + milliseconds{150});
            CHECK(pacer.take_round(start + milliseconds{150}).empty());
            pacer.request(instance_id{1}, 0, start + list_pacer::repeat_interval);
            CHECK(recipients_in(pacer.take_round(start + list_pacer::repeat_interval)) == 1);
        }
        SUBCASE("but again after it made progress")
        {
            pacer.request(instance_id{1}, 5, start + milliseconds{150});
            CHECK(recipients_in(pacer.take_round(start + milliseconds{150})) == 1);
        }
    }
    SUBCASE("of 100 instances share one update in each round, and all are served in time")
    {
        for (std::uint64_t n = 0; n != 100; ++n)
        {
            pacer.request(instance_id{n}, 0, start);
        }
        std::size_t served = 0;
        auto now = start;
        for (; served != 100 && now < start + seconds{5}; now += list_pacer::round_interval)
        {
            const auto round = pacer.take_round(now);
            CHECK(round.size() == 1);
            CHECK(recipients_in(round) <= list_pacer::max_recipients);
            CHECK(pacer.take_round(now).empty());
            served += recipients_in(round);
        }
        CHECK(served == 100);
        CHECK(now - start <= milliseconds{400});
    }
    SUBCASE("from many revisions are limited to a few updates in a round")
    {
        for (std::uint64_t n = 0; n != 10; ++n)
        {
            pacer.request(instance_id{n}, n + 1, start);
        }
        CHECK(pacer.take_round(start).size() == list_pacer::max_updates);
    }
    SUBCASE("count once per instance, with the newest revision")
    {
        pacer.request(instance_id{1}, 0, start);
        pacer.request(instance_id{1}, 4, start);
        CHECK(pacer.take_round(start) == std::vector<list_recipients>{{4, {instance_id{1}}}});
    }
}

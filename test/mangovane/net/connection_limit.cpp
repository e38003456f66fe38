// Tests of the limit on connections. Guards against connections on which nothing happens: they
// would take all descriptors, and callers that send whole requests would not be served.
#include "mangovane/net/connection_limit.hpp"

#include <optional>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{100}};

/// Connections that note which of them were asked to close.
class connections
{
public:
    explicit connections(std::size_t limit) : limit{limit} {}

    /// Index of the new connection; its place is empty if it was not admitted.
    std::size_t open(time_point now)
    {
        const auto n = places.size();
        places.emplace_back();
        places.back() = limit.admit([this, n] { asked.push_back(n); }, now);
        return n;
    }

    /// As a session does that has been asked.
    void close_those_asked()
    {
        for (const auto n : asked)
        {
            places[n].reset();
        }
        asked.clear();
    }

    connection_limit limit;
    std::vector<std::optional<connection_place>> places;
    std::vector<std::size_t> asked;
};

} // namespace

TEST_CASE("a limit on connections that is reached")
{
    connections all{3};
    const auto first = all.open(start);
    const auto second = all.open(start + milliseconds{1});
    const auto third = all.open(start + milliseconds{2});
    REQUIRE(all.asked.empty());
    REQUIRE(all.limit.used() == 3);

    SUBCASE("lets a new connection in, and closes the one that has waited longest")
    {
        const auto next = all.open(start + seconds{2});
        CHECK(all.places[next].has_value());
        CHECK(all.asked == std::vector{first});
        CHECK(all.limit.used() == 3);
    }
    SUBCASE("closes one that is idle before one whose first request may be on its way")
    {
        all.places[third]->enter(connection_phase::idle, start + milliseconds{10});
        static_cast<void>(all.open(start + milliseconds{500}));
        CHECK(all.asked == std::vector{third});

        SUBCASE("but after one whose first request has not come for a second")
        {
            all.close_those_asked();
            const auto next = all.open(start + milliseconds{600});
            REQUIRE(all.asked == std::vector{first}); // The others are all receiving.
            all.close_those_asked();
            all.places[next]->enter(connection_phase::idle, start + milliseconds{700});
            static_cast<void>(all.open(start + milliseconds{1001}));
            CHECK(all.asked == std::vector{second});
        }
    }
    SUBCASE("closes one that has sent its last response first")
    {
        all.places[second]->enter(connection_phase::closing, start + milliseconds{10});
        static_cast<void>(all.open(start + seconds{5}));
        CHECK(all.asked == std::vector{second});
    }
    SUBCASE("counts the descriptor that a request needs for its endpoint")
    {
        CHECK(all.places[third]->begin_serving(start + milliseconds{3}));
        CHECK(all.asked == std::vector{first});
        CHECK(all.limit.used() == 3);

        SUBCASE("and gives it back")
        {
            all.places[third]->enter(connection_phase::idle, start + milliseconds{4});
            CHECK(all.limit.used() == 2);
        }
        SUBCASE("and admits nothing while all connections are serving")
        {
            all.close_those_asked();
            CHECK_FALSE(all.places[second]->begin_serving(start + milliseconds{5}));
            CHECK(all.asked.empty());
            const auto next = all.open(start + milliseconds{6});
            CHECK(all.places[next].has_value());
            CHECK(all.asked == std::vector{second});
            CHECK_FALSE(all.places[next]->begin_serving(start + milliseconds{7}));
        }
    }
    SUBCASE("closes one whose caller has not read its response for a second, after the idle ones")
    {
        REQUIRE(all.places[first]->begin_serving(start + milliseconds{2}));
        REQUIRE(all.asked == std::vector{second});
        all.close_those_asked();
        all.places[first]->enter(connection_phase::stalled, start + milliseconds{2});
        all.places[third]->enter(connection_phase::idle, start + milliseconds{100});
        const auto next = all.open(start + seconds{1});
        CHECK(all.asked == std::vector{third});
        all.close_those_asked();
        all.places[next]->enter(connection_phase::idle, start + seconds{1});
        REQUIRE(all.places[next]->begin_serving(start + milliseconds{1100}));
        CHECK(all.asked == std::vector{first});
    }
    SUBCASE("keeps one that was asked but whose request has arrived")
    {
        static_cast<void>(all.open(start + seconds{2}));
        REQUIRE(all.places[first]->evicted());
        all.places[first]->keep();
        CHECK_FALSE(all.places[first]->evicted());
        CHECK(all.limit.used() == 4);
    }
    SUBCASE("follows a lower limit as connections come")
    {
        all.limit.set_limit(2);
        static_cast<void>(all.open(start + seconds{2}));
        CHECK(all.asked == std::vector{first, second});
        CHECK(all.limit.used() == 2);
    }
}

TEST_CASE("connections that were asked to close and do not")
{
    connections all{16};
    for (std::size_t n = 0; n != 16; ++n)
    {
        static_cast<void>(all.open(start));
    }
    SUBCASE("are not joined by more than an eighth of the limit and one")
    {
        for (std::size_t n = 0; n != 10; ++n)
        {
            static_cast<void>(all.open(start + seconds{2}));
        }
        CHECK(all.asked.size() == 3);
        CHECK_FALSE(all.places.back().has_value());

        SUBCASE("and make room once they have closed")
        {
            all.close_those_asked();
            const auto next = all.open(start + seconds{3});
            CHECK(all.places[next].has_value());
        }
    }
}

TEST_CASE("the descriptors that callers may take")
{
    SUBCASE("leave room for 2,500 idle connections on the smallest machines")
    {
        CHECK(descriptors_for_callers(2870, 13) >= 2500);
    }
    SUBCASE("leave those that the instance needs for a large fleet")
    {
        CHECK(descriptors_for_callers(4100, 300) <= 4100 - 2 * 300);
    }
    SUBCASE("are half of a small number")
    {
        CHECK(descriptors_for_callers(200, 13) == 100);
    }
}

// Tests of the budget of held bytes. Without a common limit, many responses at once that are each
// within their own limit would fill the memory of an instance.
#include "mangovane/net/byte_budget.hpp"

#include <optional>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("a budget of bytes")
{
    byte_budget budget{100};

    SUBCASE("is shared by its reservations")
    {
        byte_reservation first{budget};
        CHECK(first.try_grow(60));
        std::optional<byte_reservation> second{byte_reservation{budget}};
        CHECK(second->try_grow(40));
        CHECK_FALSE(first.try_grow(1));
        CHECK(budget.used() == 100);

        SUBCASE("and gets back what a reservation held when it ends")
        {
            second.reset();
            CHECK(budget.used() == 60);
            CHECK(first.try_grow(40));
        }
        SUBCASE("and counts a moved reservation once")
        {
            const byte_reservation moved{std::move(*second)};
            second.reset();
            CHECK(moved.bytes() == 40);
            CHECK(budget.used() == 100);
        }
    }
    SUBCASE("is never exceeded by threads that take from it at the same time")
    {
        std::vector<std::thread> threads;
        std::atomic<std::size_t> taken{0};
        for (int n = 0; n != 4; ++n)
        {
            threads.emplace_back(
                [&]
                {
                    for (int i = 0; i != 100; ++i)
                    {
                        taken += budget.try_take(1) ? 1 : 0;
                    }
                });
        }
        for (auto& it : threads)
        {
            it.join();
        }
        CHECK(taken == 100);
        CHECK(budget.used() == 100);
    }
}

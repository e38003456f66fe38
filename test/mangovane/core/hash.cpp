// Tests of rendezvous hashing. If owner and order disagreed, instances would choose different
// owners. If keys of remaining nodes moved, a change of membership would move most keys.
#include "mangovane/core/hash.hpp"

#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

TEST_CASE("rendezvous hashing")
{
    std::vector<std::uint64_t> nodes;
    for (std::uint64_t n = 1; n <= 12; ++n)
    {
        nodes.push_back(hash_combine(n, 99));
    }

    SUBCASE("makes the first node of the order the owner of a key")
    {
        for (std::uint64_t key = 0; key != 100; ++key)
        {
            CHECK(rendezvous_owner(key, nodes) == rendezvous_order(key, nodes, 2).front());
        }
    }

    SUBCASE("moves only the keys of a removed node")
    {
        auto fewer = nodes;
        fewer.pop_back();
        std::size_t moved = 0;
        for (std::uint64_t key = 0; key != 1200; ++key)
        {
            const auto before = nodes[rendezvous_owner(key, nodes)];
            const auto after = fewer[rendezvous_owner(key, fewer)];
            if (before != nodes.back())
            {
                CHECK(before == after);
            }
            moved += before != after ? 1U : 0U;
        }
        CHECK(moved > 50);
        CHECK(moved < 150);
    }

    SUBCASE("has no owner if there are no nodes")
    {
        CHECK(rendezvous_owner(7, {}) == 0);
        CHECK(rendezvous_order(7, {}, 3).empty());
    }
}

// Tests of the chat directory: locations, eviction at capacity, and access from several threads.
// Guards against a directory that grows without bound or returns a lost location.
#include "mangovane/placement/chat_directory.hpp"

#include <thread>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

chat_id chat(std::uint64_t n)
{
    return chat_id{hash_combine(n, 5)};
}

const endpoint_id first = endpoint_id::of("first");
const endpoint_id second = endpoint_id::of("second");
const endpoint_id third = endpoint_id::of("third");

} // namespace

TEST_CASE("a chat directory")
{
    chat_directory directory{1000};
    const time_point now{seconds{100}};
    directory.update({chat(1), first}, now);

    SUBCASE("returns no locations for a chat that was never recorded")
    {
        CHECK(directory.find(chat(2)).empty());
        CHECK(directory.find(chat(1)) == chat_locations{{first, endpoint_id{}}});
    }

    SUBCASE(
        "keeps the last two locations, newest first, so that the older prefix can still be found")
    {
        directory.update({chat(1), second}, now);
        CHECK(directory.find(chat(1)) == chat_locations{{second, first}});
        directory.update({chat(1), third}, now);
        CHECK(directory.find(chat(1)) == chat_locations{{third, second}});

        SUBCASE("and never holds the same endpoint twice")
        {
            directory.update({chat(1), third}, now);
            CHECK(directory.find(chat(1)) == chat_locations{{third, second}});
            directory.update({chat(1), second}, now);
            CHECK(directory.find(chat(1)) == chat_locations{{second, third}});
        }
    }
}

TEST_CASE("a chat directory at its capacity")
{
    constexpr std::size_t capacity = 6400;
    chat_directory directory{capacity};
    time_point now{seconds{100}};
    for (std::uint64_t n = 0; n != 4 * capacity; ++n)
    {
        now += seconds{n % 10 == 0 ? 1 : 0};
        directory.update({chat(n), first}, now);
        REQUIRE(directory.find(chat(n)).endpoints.front() == first);
    }

    SUBCASE("evicts old entries instead of growing")
    {
        CHECK(directory.size() <= capacity);
        CHECK(directory.size() > capacity * 9 / 10);
    }

    SUBCASE("keeps recently updated chats and evicts old ones")
    {
        std::size_t recent = 0;
        std::size_t old = 0;
        for (std::uint64_t n = 0; n != capacity / 4; ++n)
        {
            recent += directory.find(chat(4 * capacity - 1 - n)).empty() ? 0 : 1;
            old += directory.find(chat(n)).empty() ? 0 : 1;
        }
        CHECK(recent > capacity / 4 * 9 / 10);
        CHECK(old < capacity / 4 / 20);
    }
}

TEST_CASE("a chat directory that several threads update")
{
    // Guards against access to a shard without its lock.
    chat_directory directory{4000};
    const auto work = [&](std::uint64_t offset)
    {
        for (std::uint64_t n = 0; n != 5000; ++n)
        {
            directory.update({chat(n + offset), first}, time_point{seconds{n}});
            (void)directory.find(chat(n));
        }
    };
    std::thread other{work, 2500};
    work(0);
    other.join();
    CHECK(directory.size() <= 4000);
}

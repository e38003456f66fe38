// Tests of the chat directory.
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

TEST_CASE("a chat directory remembers where a chat was served")
{
    chat_directory directory{1000};
    const time_point now{seconds{100}};
    directory.update({chat(1), first}, now);

    SUBCASE("guards against invented locations: other chats are unknown")
    {
        CHECK(directory.find(chat(2)).empty());
        CHECK(directory.find(chat(1)) == chat_locations{{first, endpoint_id{}}});
    }

    SUBCASE("guards against losing the older prefix: the last two are kept, newest first")
    {
        directory.update({chat(1), second}, now);
        CHECK(directory.find(chat(1)) == chat_locations{{second, first}});
        directory.update({chat(1), third}, now);
        CHECK(directory.find(chat(1)) == chat_locations{{third, second}});

        SUBCASE("guards against the same endpoint filling both places")
        {
            directory.update({chat(1), third}, now);
            CHECK(directory.find(chat(1)) == chat_locations{{third, second}});
            directory.update({chat(1), second}, now);
            CHECK(directory.find(chat(1)) == chat_locations{{second, third}});
        }
    }
}

TEST_CASE("a chat directory stays within its capacity")
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

    SUBCASE("guards against growth: old entries make room")
    {
        CHECK(directory.size() <= capacity);
        CHECK(directory.size() > capacity * 9 / 10);
    }

    SUBCASE("guards against dropping chats in use: those used last are kept, old ones go")
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

TEST_CASE("threads update a chat directory at the same time")
{
    // Guards against a shard used without its lock.
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

// Tests of the memory for requests. Guards against callers that begin requests and do not finish
// them: they would hold all of it, and requests that arrive without delay would be refused.
#include "mangovane/net/request_memory.hpp"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

constexpr std::size_t limit = 1000;

/// A connection that notes whether it was asked to give up its request.
struct connection
{
    explicit connection(const std::shared_ptr<request_memory>& memory)
        : share{std::make_shared<request_share>(memory)}, held{share}
    {
        share->on_evict([it = asked] { *it = true; });
    }

    std::shared_ptr<request_share> share;
    request_reservation held;
    /// Outlives the connection, as a handler may run late.
    std::shared_ptr<std::atomic<bool>> asked{std::make_shared<std::atomic<bool>>(false)};
};

} // namespace

TEST_CASE("the memory for requests")
{
    const auto memory = std::make_shared<request_memory>(limit);
    const auto now = clock::now();
    connection waiting{memory};
    connection upload{memory};
    connection ordinary{memory};

    SUBCASE("gives all of it to the only request that is read")
    {
        upload.share->begin_request(now);
        CHECK(upload.held.try_grow(limit));
        CHECK_FALSE(upload.held.try_grow(1));
        CHECK_FALSE(*upload.asked);
    }
    SUBCASE("of which unfinished requests have taken their three quarters")
    {
        waiting.share->begin_request(now - seconds{20});
        REQUIRE(waiting.held.try_grow(200));
        upload.share->begin_request(now - seconds{1});
        REQUIRE(upload.held.try_grow(550));
        ordinary.share->begin_request(now);

        SUBCASE("is taken from the one that has held much for long")
        {
            CHECK(ordinary.held.try_grow(50));
            CHECK(*waiting.asked);
            CHECK_FALSE(*upload.asked);
            CHECK(waiting.share->evicted());

            SUBCASE("which gets no more")
            {
                CHECK_FALSE(waiting.held.try_grow(1));
            }
            SUBCASE("and whose bytes count until it has given them back")
            {
                CHECK(memory->used() == 800);
                waiting.held.shrink_to(0);
                CHECK(memory->used() == 600);
            }
            SUBCASE("unless it has arrived whole meanwhile")
            {
                waiting.share->end_request();
                CHECK_FALSE(waiting.share->evicted());
                CHECK(memory->used() == 800);
            }
        }
        SUBCASE("is refused to the one that has held most for longest")
        {
            CHECK_FALSE(waiting.held.try_grow(50));
            CHECK_FALSE(*waiting.asked);
            CHECK_FALSE(*ordinary.asked);
        }
    }
    SUBCASE("that whole requests have filled is refused, whatever is unfinished")
    {
        REQUIRE(upload.held.try_grow(900));
        waiting.share->begin_request(now - seconds{20});
        REQUIRE(waiting.held.try_grow(50));
        ordinary.share->begin_request(now);
        CHECK_FALSE(ordinary.held.try_grow(100));
        CHECK_FALSE(*upload.asked);
    }
    SUBCASE("is never exceeded by threads that take from it at the same time")
    {
        std::vector<std::thread> threads;
        for (int n = 0; n != 4; ++n)
        {
            threads.emplace_back(
                [&]
                {
                    connection it{memory};
                    for (int i = 0; i != 500; ++i)
                    {
                        it.share->begin_request(clock::now());
                        static_cast<void>(it.held.try_grow(10));
                        CHECK(memory->used() <= limit);
                        it.held.shrink_to(100);
                    }
                });
        }
        for (auto& it : threads)
        {
            it.join();
        }
        CHECK(memory->used() == 0);
    }
}

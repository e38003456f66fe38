// Guards against a verdict on a prompt part that depends on the order in which evidence arrives, or
// that accuses a part that was merely present.
#include "mangovane/quarantine/part_record.hpp"

#include <algorithm>
#include <functional>
#include <numeric>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{1000}};
constexpr std::uint64_t part = 7;

crash_evidence crash_at(int ms, std::uint64_t crash, bool answered_before = false)
{
    const auto at = start + milliseconds{ms};
    return {part, crash, at, at + seconds{120}, answered_before, 1};
}

} // namespace

TEST_CASE("a prompt part")
{
    part_record record{part};

    SUBCASE("is refused after three crashes at different moments")
    {
        CHECK(record.add(crash_at(0, 1)));
        CHECK(record.add(crash_at(900, 2)));
        CHECK_FALSE(record.verdict());
        CHECK(record.add(crash_at(1800, 3)));
        REQUIRE(record.verdict());
        CHECK(*record.verdict() == part_verdict{part, 3, start, start + milliseconds{1800}});

        SUBCASE("until a request with it is answered")
        {
            CHECK(record.on_answer(start + milliseconds{1900}));
            CHECK_FALSE(record.verdict());
            CHECK(record.evidence().empty());

            SUBCASE("and copies of the old evidence that arrive late change nothing")
            {
                CHECK_FALSE(record.add(crash_at(0, 1)));
                CHECK_FALSE(record.add(crash_at(1800, 3)));
                CHECK_FALSE(record.verdict());
            }
        }
        SUBCASE("also when an answer that is older than the crashes becomes known")
        {
            CHECK_FALSE(record.on_answer(start - milliseconds{1}));
            CHECK(record.verdict());
        }
    }
    SUBCASE("is not refused when endpoints crash at the same moment, such as those of one rack")
    {
        for (int n = 0; n != 12; ++n)
        {
            record.add(crash_at(n, static_cast<std::uint64_t>(n) + 1));
        }
        CHECK_FALSE(record.verdict());
    }
    SUBCASE("is not refused when one crash is reported repeatedly, at slightly different times")
    {
        for (int n = 0; n != 12; ++n)
        {
            CHECK(record.add(crash_at(n * 200, 1)) == (n == 0));
        }
        CHECK_FALSE(record.verdict());
        CHECK(record.evidence().size() == 1);
    }
    SUBCASE("that was answered shortly before is refused after five crashes")
    {
        for (int n = 0; n != 4; ++n)
        {
            record.add(crash_at(n * 500, static_cast<std::uint64_t>(n) + 1, true));
        }
        CHECK_FALSE(record.verdict());
        record.add(crash_at(2000, 5, true));
        CHECK(record.verdict());
    }
    SUBCASE("has the same record in whatever order evidence and answers arrive, and how often")
    {
        std::vector<std::function<void(part_record&)>> arrivals{
            [](part_record& it) { it.add(crash_at(0, 1)); },
            [](part_record& it) { it.add(crash_at(700, 2)); },
            [](part_record& it) { it.add(crash_at(710, 2, true)); },
            [](part_record& it) { it.add(crash_at(1500, 3)); },
            [](part_record& it) { it.on_answer(start + milliseconds{300}); },
            [](part_record& it) { it.on_answer(start + milliseconds{200}); },
        };
        for (const auto& it : arrivals)
        {
            it(record);
        }
        std::vector<std::size_t> order(arrivals.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        do
        {
            part_record other{part};
            for (const auto n : order)
            {
                arrivals[n](other);
                arrivals[n](other);
            }
            REQUIRE(other == record);
        } while (std::next_permutation(order.begin(), order.end()));
    }
    SUBCASE("is explained by another that was present at the same crashes and at more")
    {
        part_record other{8};
        for (int n = 0; n != 3; ++n)
        {
            record.add(crash_at(n * 500, static_cast<std::uint64_t>(n) + 1));
            other.add(crash_at(n * 500, static_cast<std::uint64_t>(n) + 1));
        }
        CHECK_FALSE(other.explains(record));
        other.add(crash_at(1500, 4));
        CHECK(other.explains(record));
        CHECK_FALSE(record.explains(other));

        SUBCASE("but no longer once it was present at a crash of its own")
        {
            record.add(crash_at(2000, 5));
            CHECK_FALSE(other.explains(record));
        }
    }
    SUBCASE("is explained by another that was present at the same crashes deeper in the prompt")
    {
        part_record other{8};
        auto deeper = crash_at(0, 1);
        deeper.depth = 2;
        record.add(crash_at(0, 1));
        other.add(deeper);
        CHECK(other.explains(record));
        CHECK_FALSE(record.explains(other));
    }
    SUBCASE("keeps a bounded number of crashes")
    {
        for (int n = 0; n != 100; ++n)
        {
            record.add(crash_at(n * 200, static_cast<std::uint64_t>(n) + 1));
        }
        CHECK(record.evidence().size() == part_record::max_crashes);
        CHECK(record.verdict());
    }
}

// Guards against a status that a late or paused writer undoes, and against a deadline that moves
// with each instance that reads the order.
#include "mangovane/rollout/rollout_status.hpp"

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{1000}};

rollout_summary summary_of(rollout_state state, bool completable = false)
{
    rollout_summary result;
    result.order = {service_id::of("huvo"), "huvo", "v2", {0, 40}, milliseconds{12'000}};
    result.state = state;
    result.deadline = start + result.order.duration;
    result.completable = completable;
    return result;
}

/// The rows of an order, which are due 5 s after `read_at`.
rollout_rows rows_of(rollout_state state, std::uint64_t order)
{
    return {{50, rollout_status{"v2", state}},
            {51, rollout_progress{{0, order}, "v2", milliseconds{20'000}}}};
}

const store_time read_at{milliseconds{15'000}, start};

} // namespace

TEST_CASE("the first reader of an order writes both rows and fixes the deadline")
{
    const rollout_rows none;
    const store_time first_read{milliseconds{5000}, start};
    const auto got = decide_status(summary_of(rollout_state::running), none, first_read);
    REQUIRE(got.write);
    CHECK_FALSE(got.stored);
    CHECK(got.deadline == start + milliseconds{12'000});
    CHECK(got.write->service_name == "huvo");
    CHECK_FALSE(got.write->status_revision.known());
    CHECK_FALSE(got.write->progress_revision.known());
    CHECK(got.write->status == rollout_status{"v2", rollout_state::running});
    CHECK(got.write->progress == rollout_progress{{0, 40}, "v2", milliseconds{17'000}});

    SUBCASE("and others take the deadline from them")
    {
        const rollout_rows written{{50, got.write->status}, {51, got.write->progress}};
        const auto later = decide_status(summary_of(rollout_state::running), written,
                                         {milliseconds{9000}, start + seconds{4}});
        CHECK(later.deadline == got.deadline);
        CHECK(later.stored == rollout_state::running);
        CHECK_FALSE(later.write);
    }
    SUBCASE("also if rows of an earlier order to the same version are there")
    {
        const auto again = decide_status(summary_of(rollout_state::running),
                                         rows_of(rollout_state::rolled_back, 39), read_at);
        CHECK_FALSE(again.stored);
        REQUIRE(again.write);
        CHECK(again.write->status_revision == store_revision{50});
        CHECK(again.write->progress_revision == store_revision{51});
    }
    SUBCASE("also over rows that cannot be read, if they still have their revisions")
    {
        const rollout_rows unreadable{{50, std::nullopt}, {51, std::nullopt}};
        const auto again =
            decide_status(summary_of(rollout_state::running), unreadable, first_read);
        CHECK_FALSE(again.stored);
        REQUIRE(again.write);
        CHECK(again.write->status_revision == store_revision{50});
        CHECK(again.write->progress_revision == store_revision{51});
    }
    SUBCASE("and keeps it when the store comes back without the rows (guards against a restarted "
            "instance that takes a later deadline from rows that were written again)")
    {
        const store_time later{milliseconds{10'000}, start + seconds{5}};
        const auto again = decide_status(summary_of(rollout_state::running), none, later);
        CHECK(again.deadline == got.deadline);
        REQUIRE(again.write);
        CHECK(again.write->progress == got.write->progress);
    }
    SUBCASE("but an end that is known is written at once (guards against a rollout that an older "
            "copy of the store starts over)")
    {
        const auto end = decide_status(summary_of(rollout_state::rolled_back), none, first_read);
        REQUIRE(end.write);
        CHECK(end.write->status == rollout_status{"v2", rollout_state::rolled_back});
    }
}

TEST_CASE("the end of a rollout")
{
    const auto running = rows_of(rollout_state::running, 40);
    SUBCASE("is written as done when nothing runs at the old version")
    {
        const auto got = decide_status(summary_of(rollout_state::running, true), running, read_at);
        REQUIRE(got.write);
        CHECK(got.write->status == rollout_status{"v2", rollout_state::done});
        CHECK(got.write->progress == *running.progress.value);
        CHECK(got.deadline == start + milliseconds{5000});
    }
    SUBCASE("is written as rolled_back")
    {
        const auto got = decide_status(summary_of(rollout_state::rolled_back), running, read_at);
        REQUIRE(got.write);
        CHECK(got.write->status == rollout_status{"v2", rollout_state::rolled_back});
    }
    SUBCASE("is not replaced once it is stored")
    {
        const auto got = decide_status(summary_of(rollout_state::rolled_back),
                                       rows_of(rollout_state::done, 40), read_at);
        CHECK(got.stored == rollout_state::done);
        CHECK_FALSE(got.write);
    }
    SUBCASE("is not written over a newer order")
    {
        const auto got = decide_status(summary_of(rollout_state::rolled_back),
                                       rows_of(rollout_state::running, 41), read_at);
        CHECK_FALSE(got.write);
        CHECK_FALSE(got.stored);
    }
    SUBCASE("is written if the status row is of another version")
    {
        auto rows = running;
        rows.status.value->version = "v1";
        const auto got = decide_status(summary_of(rollout_state::rolled_back), rows, read_at);
        CHECK_FALSE(got.stored);
        REQUIRE(got.write);
        CHECK(got.write->status == rollout_status{"v2", rollout_state::rolled_back});
    }
}

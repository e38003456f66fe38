// Guards against a status that a late or paused writer undoes, and against a deadline that moves
// with each instance that reads the order.
#include "rollout_status.hpp"

#include <doctest/doctest.h>

using namespace mangovane;
using namespace mangovane::platform;

namespace
{

const time_point start{seconds{1000}};

rollout_summary summary_of(rollout_state state, bool completable = false)
{
    const rollout_order order{service_id::of("huvo"), "huvo", "v2", {0, 40}, milliseconds{12'000}};
    return {order, state, 0, start, completable, {}};
}

store_row row_of(std::string value, std::uint64_t revision)
{
    return {"huvo", std::move(value), revision, false};
}

rollout_rows rows_of(const std::string& state, std::uint64_t order)
{
    return {row_of(R"({"state":")" + state + R"(","to":"v2"})", 50),
            row_of(R"({"era":0,"order":)" + std::to_string(order) +
                       R"(,"to":"v2","deadline_ms":20000})",
                   51),
            milliseconds{15'000}, start};
}

} // namespace

TEST_CASE("the first reader of an order writes both rows and fixes the deadline")
{
    const rollout_rows none{{}, {}, milliseconds{5000}, start};
    const auto got = decide_status(summary_of(rollout_state::running), none);
    REQUIRE(got.write);
    CHECK_FALSE(got.stored);
    CHECK(got.deadline == start + milliseconds{12'000});
    CHECK(got.write->conditions == std::vector<row_condition>{{"status", "rollout/huvo", 0},
                                                              {"mangovane-rollouts", "huvo", 0}});
    CHECK(got.write->rows.at(0).value == R"({"state":"running","to":"v2"})");

    SUBCASE("and others take the deadline from them")
    {
        const rollout_rows written{row_of(got.write->rows.at(0).value, 50),
                                   row_of(got.write->rows.at(1).value, 51), milliseconds{9000},
                                   start + seconds{4}};
        const auto later = decide_status(summary_of(rollout_state::running), written);
        CHECK(later.deadline == got.deadline);
        CHECK(later.stored == rollout_state::running);
        CHECK_FALSE(later.write);
    }
    SUBCASE("also if rows of an earlier order to the same version are there")
    {
        const auto again =
            decide_status(summary_of(rollout_state::running), rows_of("rolled_back", 39));
        CHECK_FALSE(again.stored);
        REQUIRE(again.write);
        CHECK(again.write->conditions.at(0).revision == 50);
        CHECK(again.write->conditions.at(1).revision == 51);
    }
    SUBCASE("but an end that is known is written at once (guards against a rollout that an older "
            "copy of the store starts over)")
    {
        const auto end = decide_status(summary_of(rollout_state::rolled_back), none);
        REQUIRE(end.write);
        CHECK(end.write->rows.at(0).value == R"({"state":"rolled_back","to":"v2"})");
    }
}

TEST_CASE("the end of a rollout")
{
    const auto running = rows_of("running", 40);
    SUBCASE("is written as done when nothing runs at the old version")
    {
        const auto got = decide_status(summary_of(rollout_state::running, true), running);
        REQUIRE(got.write);
        CHECK(got.write->rows.at(0).value == R"({"state":"done","to":"v2"})");
        CHECK(got.deadline == start + milliseconds{5000});
    }
    SUBCASE("is written as rolled_back")
    {
        const auto got = decide_status(summary_of(rollout_state::rolled_back), running);
        REQUIRE(got.write);
        CHECK(got.write->rows.at(0).value == R"({"state":"rolled_back","to":"v2"})");
    }
    SUBCASE("is not replaced once it is stored")
    {
        const auto got = decide_status(summary_of(rollout_state::rolled_back), rows_of("done", 40));
        CHECK(got.stored == rollout_state::done);
        CHECK_FALSE(got.write);
    }
    SUBCASE("is not written over a newer order")
    {
        const auto got =
            decide_status(summary_of(rollout_state::rolled_back), rows_of("running", 41));
        CHECK_FALSE(got.write);
        CHECK_FALSE(got.stored);
    }
}

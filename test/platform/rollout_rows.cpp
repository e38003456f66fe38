// Guards against rows of rollouts whose names or encoding differ from those that operators read and
// that instances of earlier versions have written.
#include "rollout_rows.hpp"

#include <doctest/doctest.h>

using namespace mangovane;
using namespace mangovane::platform;

namespace
{

store_row row_of(std::string key, std::string value, store_revision revision)
{
    return {std::move(key), std::move(value), revision, false};
}

const std::string running_text = R"({"state":"running","to":"v2"})";
const std::string progress_text = R"({"era":1,"order":40,"to":"v2","deadline_ms":20000})";
const rollout_progress progress{{1, 40}, "v2", milliseconds{20'000}};

} // namespace

TEST_CASE("the rows of a rollout")
{
    const auto got =
        read_rollout_rows({row_of("rollout/huvo", running_text, {1, 50})},
                          {row_of("huvo", progress_text, {1, 51})}, milliseconds{9000});

    SUBCASE("are read with their revisions and the store's time")
    {
        CHECK(got.now == milliseconds{9000});
        REQUIRE(got.services.size() == 1);
        const rollout_rows expected{{{1, 50}, rollout_status{"v2", rollout_state::running}},
                                    {{1, 51}, progress}};
        CHECK(got.services.at("huvo") == expected);
    }
    SUBCASE("are written on condition that they have the revisions that were read")
    {
        const auto& rows = got.services.at("huvo");
        const auto write = transaction_for({"huvo",
                                            rows.status.revision,
                                            rows.progress.revision,
                                            {"v2", rollout_state::rolled_back},
                                            progress});
        CHECK(write.conditions == std::vector<row_condition>{{"status", "rollout/huvo", 50},
                                                             {"mangovane-rollouts", "huvo", 51}});
        CHECK(write.rows == std::vector<row_write>{
                                {"status", "rollout/huvo", R"({"state":"rolled_back","to":"v2"})"},
                                {"mangovane-rollouts", "huvo", progress_text}});

        SUBCASE("and their values are read again as they were written")
        {
            const auto again =
                read_rollout_rows({row_of("rollout/huvo", write.rows.at(0).value, {1, 52})},
                                  {row_of("huvo", write.rows.at(1).value, {1, 53})}, {});
            const auto& it = again.services.at("huvo");
            CHECK(it.status.value == rollout_status{"v2", rollout_state::rolled_back});
            CHECK(it.progress.value == progress);
        }
    }
    SUBCASE("that do not exist must not exist when they are written")
    {
        const auto write = transaction_for({"huvo", {}, {}, {"v2", rollout_state::done}, progress});
        CHECK(write.conditions == std::vector<row_condition>{{"status", "rollout/huvo", 0},
                                                             {"mangovane-rollouts", "huvo", 0}});
        CHECK(write.rows.at(0).value == R"({"state":"done","to":"v2"})");
    }
}

TEST_CASE("rows that another program has written")
{
    SUBCASE("have a revision but no value if they cannot be parsed")
    {
        const auto got =
            read_rollout_rows({row_of("rollout/a", "?", 50),
                               row_of("rollout/b", R"({"state":"paused","to":"v2"})", 51),
                               row_of("rollout/c", R"({"state":"done"})", 52)},
                              {row_of("a", R"({"era":0,"order":40,"to":"v2"})", 53)}, {});
        CHECK(got.services.at("a").status == stored_value<rollout_status>{50, std::nullopt});
        CHECK(got.services.at("b").status == stored_value<rollout_status>{51, std::nullopt});
        CHECK(got.services.at("c").status == stored_value<rollout_status>{52, std::nullopt});
        CHECK(got.services.at("a").progress == stored_value<rollout_progress>{53, std::nullopt});
    }
    SUBCASE("are left out if they are of something else, or removed")
    {
        const store_row removed{"huvo", progress_text, 51, true};
        const auto got = read_rollout_rows({row_of("stop/huvo", running_text, 50)}, {removed}, {});
        CHECK(got.services.empty());
    }
}

// Tests of settings changes: each is applied once or rejected with a reason, also when responses of
// the platform are lost.
#include "mangovane/settings/store.hpp"

#include <doctest/doctest.h>

#include "fake_platform.hpp"

using namespace mangovane;

namespace
{

std::string text_with(const std::string& weight)
{
    return R"({"services": {}, "nodes": [{"path": "/", "settings": {"weight": )" + weight + "}}]}";
}

settings_change change_of(const std::string& id, const std::string& weight = "1")
{
    return {id, "ada", text_with(weight), std::nullopt};
}

struct store_fixture
{
    apply_outcome apply(const settings_change& change)
    {
        apply_outcome result;
        store.apply(change, time_point{}, [&](const apply_outcome& it) { result = it; });
        platform.run();
        return result;
    }

    std::vector<settings_record> history()
    {
        std::vector<settings_record> result;
        store.history(10, time_point{}, [&](const auto& it) { result = *it; });
        platform.run();
        return result;
    }

    fake_platform platform;
    settings_store store{platform, platform};
};

} // namespace

TEST_CASE("a change creates a new version")
{
    store_fixture fix;
    const auto first = fix.apply(change_of("c1"));
    REQUIRE(first.result == apply_result::applied);
    CHECK(first.head.version == 1);
    CHECK(first.head.object == "settings/1-c1");
    CHECK(fix.platform.objects.at("settings/1-c1") == text_with("1"));

    SUBCASE("an invalid text is not stored; every instance would reject it")
    {
        const auto outcome = fix.apply(change_of("c2", "0"));
        CHECK(outcome.result == apply_result::invalid);
        CHECK(outcome.errors.size() == 1);
        CHECK(fix.platform.objects.size() == 1);
    }
    SUBCASE("a retry is not applied again, also after other changes")
    {
        CHECK(fix.apply(change_of("c1")).result == apply_result::already_applied);
        CHECK(fix.apply(change_of("c2", "2")).head.version == 2);
        const auto again = fix.apply(change_of("c1"));
        CHECK(again.result == apply_result::already_applied);
        CHECK(again.head.version == 1);
        CHECK(fix.history().size() == 2);
    }
    SUBCASE("a change id reused for another text is a conflict; the text was never applied")
    {
        CHECK(fix.apply(change_of("c1", "5")).result == apply_result::conflict);
    }
    SUBCASE("the loser of a race gets a conflict with the author and id of the other change")
    {
        settings_change other{"c9", "femi", text_with("9"), std::nullopt};
        fix.platform.before_write = [&]
        {
            store_fixture concurrent;
            concurrent.platform.rows = fix.platform.rows;
            concurrent.apply(other);
            fix.platform.rows = concurrent.platform.rows;
        };
        const auto outcome = fix.apply(change_of("c2", "2"));
        CHECK(outcome.result == apply_result::conflict);
        CHECK(outcome.head.author == "femi");
        CHECK(outcome.head.change_id == "c9");
        CHECK(fix.history().front().change_id == "c9");
    }
    SUBCASE("an edit of an old version is a conflict; it would silently undo later changes")
    {
        fix.apply(change_of("c2", "2"));
        auto stale = change_of("c3", "3");
        stale.base = 1;
        CHECK(fix.apply(stale).result == apply_result::conflict);
    }
    SUBCASE("rollback creates a new version with the old text; versions never decrease")
    {
        fix.apply(change_of("c2", "2"));
        apply_outcome outcome;
        fix.store.rollback(1, change_of("c3"), time_point{},
                           [&](const apply_outcome& it) { outcome = it; });
        fix.platform.run();
        CHECK(outcome.result == apply_result::applied);
        CHECK(outcome.head.version == 3);
        CHECK(fix.platform.objects.at("settings/3-c3") == text_with("1"));
        CHECK(fix.history()[0].previous == "settings/2-c2");
    }
}

TEST_CASE("a response of the platform is lost")
{
    store_fixture fix;
    fix.apply(change_of("c1"));

    SUBCASE("after the write took effect: the change is applied once and reported as applied")
    {
        fix.platform.lost_responses = 1;
        const auto outcome = fix.apply(change_of("c2", "2"));
        CHECK(outcome.result == apply_result::applied);
        CHECK(outcome.head.version == 2);
        CHECK(fix.history().size() == 2);
    }
    SUBCASE("before the write took effect: the write is repeated")
    {
        fix.platform.lost_writes = 1;
        CHECK(fix.apply(change_of("c2", "2")).result == apply_result::applied);
        CHECK(fix.history().size() == 2);
    }
    SUBCASE("and the platform stays down: the outcome is unknown until a later retry")
    {
        fix.platform.before_write = [&] { fix.platform.down = true; };
        CHECK(fix.apply(change_of("c2", "2")).result == apply_result::unknown);
        fix.platform.down = false;
        CHECK(fix.apply(change_of("c2", "2")).result == apply_result::applied);
        CHECK(fix.history().size() == 2);
    }
    SUBCASE("before anything was written: the outcome is failed")
    {
        fix.platform.down = true;
        CHECK(fix.apply(change_of("c2", "2")).result == apply_result::failed);
    }
}

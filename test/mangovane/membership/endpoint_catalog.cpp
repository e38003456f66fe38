// Tests of the endpoint catalog. An outage of the registry makes entries of running endpoints
// expire; an instance that dropped them would lose its endpoints. Instances that replicate the list
// must end up with the same entries, even when updates are lost or late.
#include "mangovane/membership/endpoint_catalog.hpp"

#include <doctest/doctest.h>

#include "mangovane/forward/forward_fixture.hpp"

using namespace mangovane;
using test::make_entry;
using test::start;

namespace
{

endpoint_change removal(const std::string& name, std::uint64_t revision)
{
    return {name, std::nullopt, revision, {}};
}

/// Follows the catalog's current list.
struct list_reader
{
    explicit list_reader(endpoint_catalog& it) : catalog{it} {}

    std::size_t count(time_point now)
    {
        if (auto changed = catalog.take_changed(now))
        {
            list = changed;
        }
        return list ? list->all().size() : 0;
    }

    endpoint_catalog& catalog;
    endpoints_ptr list;
};

} // namespace

TEST_CASE("the endpoint catalog")
{
    endpoint_catalog catalog;
    list_reader view{catalog};
    catalog.on_contact(start);
    catalog.replace({make_entry("one", test::model_service, "ikeja-a", 1),
                     make_entry("two", test::model_service, "lekki-b", 2)},
                    2, start);
    REQUIRE(view.count(start) == 2);
    CHECK(catalog.take_changed(start) == nullptr);

    SUBCASE("drops a removed entry at once while the registry responds")
    {
        catalog.apply({removal("one", 3)}, 3, start);
        CHECK(view.count(start) == 1);
    }
    SUBCASE("ignores an older state of an entry")
    {
        auto changed = make_entry("one", test::model_service, "ikeja-a", 5);
        changed.info->leaving = true;
        catalog.apply({changed}, 5, start);
        catalog.apply({make_entry("one", test::model_service, "ikeja-a", 4)}, 5, start);
        (void)view.count(start);
        CHECK(view.list->find(endpoint_id::of("one"))->leaving);
    }
    SUBCASE("removes an entry that cannot be parsed, and keeps the others")
    {
        catalog.apply({removal("one", 3), removal("unknown", 4)}, 4, start);
        CHECK(view.count(start) == 1);
        CHECK(view.list->find(endpoint_id::of("two")) != nullptr);
    }
    SUBCASE("keeps the time at which the warm-up of a new endpoint ends")
    {
        auto came = make_entry("new", test::model_service, "ikeja-a", 3);
        came.cold_left = milliseconds{3000};
        catalog.apply({came}, 3, start);
        auto warm = make_entry("new", test::model_service, "ikeja-a", 4);
        const auto cold_until = [&](time_point now)
        {
            (void)view.count(now);
            return view.list->find(endpoint_id::of("new"))->cold_until;
        };
        CHECK(cold_until(start) == start + seconds{3});

        SUBCASE("after its entry no longer has a remaining time")
        {
            catalog.apply({warm}, 4, start + seconds{4});
            CHECK(cold_until(start + seconds{4}) == start + seconds{3});
        }
        SUBCASE("unless the endpoint is warm earlier than announced")
        {
            catalog.apply({warm}, 4, start + seconds{1});
            CHECK(cold_until(start + seconds{1}) == start + seconds{1});
        }
        SUBCASE("at other instances as well")
        {
            endpoint_catalog other;
            for (const auto& it : catalog.updates_since(0, start))
            {
                CHECK(other.on_update(it, start));
            }
            catalog.apply({warm}, 4, start + seconds{4});
            for (const auto& it : catalog.updates_since(3, start + seconds{4}))
            {
                CHECK(other.on_update(it, start + seconds{4}));
            }
            list_reader others{other};
            (void)others.count(start + seconds{4});
            CHECK(others.list->find(endpoint_id::of("new"))->cold_until == start + seconds{3});
        }
        SUBCASE("but not for its next incarnation")
        {
            warm.info->epoch = 2;
            catalog.apply({warm}, 4, start + seconds{4});
            CHECK(cold_until(start + seconds{4}) == time_point{});
        }
    }
    SUBCASE("after an outage of the registry, expired entries")
    {
        catalog.on_outage(start + seconds{1});
        const auto back = start + seconds{6};
        catalog.on_contact(back);
        catalog.replace({make_entry("two", test::model_service, "lekki-b", 2)}, 9, back);

        SUBCASE("stay listed until their endpoints had time to register again")
        {
            CHECK(view.count(back + milliseconds{1999}) == 2);
            CHECK(view.count(back + endpoint_catalog::recovery_grace) == 1);
        }
        SUBCASE("stay listed when their endpoints register again")
        {
            catalog.apply({make_entry("one", test::model_service, "ikeja-a", 10)}, 10,
                          back + seconds{1});
            CHECK(view.count(back + seconds{5}) == 2);
        }
        SUBCASE("are kept for the same time by instances that receive the list")
        {
            endpoint_catalog other;
            list_reader other_view{other};
            for (const auto& it : catalog.updates_since(0, back))
            {
                CHECK(other.on_update(it, back));
            }
            CHECK(other_view.count(back) == 2);
            CHECK(other_view.count(back + endpoint_catalog::recovery_grace) == 1);
        }
    }
    SUBCASE("an instance that alone was cut off from the registry drops removed entries at once")
    {
        // Guards against taking its own disconnection for an outage of the registry: it then
        // delayed removals by 2 s, also at the other instances, and requests reached an endpoint
        // 2,046 ms after its shutdown had begun.
        catalog.on_outage(start + seconds{1});
        const auto back = start + seconds{9};
        for (auto now = start; now <= back; now += milliseconds{200})
        {
            catalog.on_peer_contact(now);
        }
        catalog.on_contact(back);
        catalog.apply({removal("one", 3)}, 3, back);
        CHECK(view.count(back) == 1);

        SUBCASE("but not when the registry has only just responded to the others again")
        {
            catalog.on_outage(back + seconds{1});
            const auto again = back + seconds{6};
            catalog.on_peer_contact(again - milliseconds{400});
            catalog.on_peer_contact(again - milliseconds{200});
            catalog.on_contact(again);
            catalog.apply({removal("two", 4)}, 4, again);
            CHECK(view.count(again) == 1);
            CHECK(view.count(again + endpoint_catalog::recovery_grace) == 0);
        }
    }
    SUBCASE("a single failed call does not count as an outage")
    {
        catalog.on_outage(start);
        catalog.on_contact(start + milliseconds{100});
        catalog.apply({removal("one", 3)}, 3, start + milliseconds{100});
        CHECK(view.count(start + milliseconds{100}) == 1);
    }
    SUBCASE("another instance")
    {
        endpoint_catalog other;
        list_reader other_view{other};
        for (const auto& it : catalog.updates_since(0, start))
        {
            REQUIRE(other.on_update(it, start));
        }
        REQUIRE(other_view.count(start) == 2);
        CHECK(other.revision() == 2);

        SUBCASE("applies the changes after its own revision")
        {
            auto cold = make_entry("three", test::model_service, "ikeja-a", 3);
            cold.cold_left = milliseconds{2500};
            catalog.apply({cold, removal("one", 4)}, 4, start);
            const auto updates = catalog.updates_since(2, start);
            REQUIRE(updates.size() == 1);
            CHECK(updates.front().rows.size() == 2);
            CHECK(other.on_update(updates.front(), start));
            CHECK(other_view.count(start) == 2);
            CHECK(other_view.list->find(endpoint_id::of("three"))->cold_until ==
                  start + milliseconds{2500});
        }
        SUBCASE("rejects changes that leave a gap after its own revision")
        {
            catalog.apply({removal("one", 4)}, 4, start);
            auto update = catalog.updates_since(3, start).front();
            update.since = 3;
            CHECK_FALSE(other.on_update(update, start));
            CHECK(other.revision() == 2);
        }
        SUBCASE("receives a removal even when the sender has dropped its tombstone")
        {
            catalog.apply({removal("one", 4)}, 4, start);
            const auto later = start + endpoint_catalog::tombstone_retention + seconds{1};
            (void)view.count(later);
            for (const auto& it : catalog.updates_since(2, later))
            {
                CHECK(other.on_update(it, later));
            }
            CHECK(other_view.count(later) == 1);
        }
        SUBCASE("receives a removal from an instance that has started after it")
        {
            // The asked instance had no tombstone, and answered with a part of the changes as if it
            // had seen all of them: requests reached an endpoint that had left until it ended.
            const std::vector<endpoint_change> rest{
                make_entry("two", test::model_service, "lekki-b", 2)};
            endpoint_catalog started;

            SUBCASE("and read the whole list from the registry")
            {
                started.replace(rest, 5, start);
            }
            SUBCASE("and received the whole list from another one")
            {
                catalog.replace(rest, 5, start);
                for (const auto& it : catalog.updates_since(0, start))
                {
                    REQUIRE(started.on_update(it, start));
                }
            }
            for (const auto& it : started.updates_since(other.revision(), start))
            {
                CHECK(other.on_update(it, start));
            }
            CHECK(other.revision() == 5);
            CHECK(other_view.count(start) == 1);
        }
        SUBCASE("receives a removal from an instance that never had the entry")
        {
            // A removal without an entry to remove left no tombstone.
            endpoint_catalog asked;
            for (const auto& it : catalog.updates_since(0, start))
            {
                REQUIRE(asked.on_update(it, start));
            }
            catalog.apply({make_entry("three", test::model_service, "ikeja-a", 3)}, 3, start);
            for (const auto& it : catalog.updates_since(2, start))
            {
                REQUIRE(other.on_update(it, start));
            }
            REQUIRE(other_view.count(start) == 3);
            const auto removed = removal("three", 4);

            SUBCASE("and reads the registry's changes")
            {
                asked.apply({removed}, 4, start);
            }
            SUBCASE("and receives the changes of another one")
            {
                catalog.apply({removed}, 4, start);
                for (const auto& it : catalog.updates_since(2, start))
                {
                    REQUIRE(asked.on_update(it, start));
                }
            }
            list_reader asked_view{asked};
            CHECK(asked_view.count(start) == 2);
            for (const auto& it : asked.updates_since(3, start))
            {
                CHECK(other.on_update(it, start));
            }
            CHECK(other_view.count(start) == 2);
        }
        SUBCASE("receives a long list in parts, and takes it only when no part is missing")
        {
            std::vector<endpoint_change> many;
            for (std::uint64_t n = 0; n != 500; ++n)
            {
                many.push_back(make_entry("engine-" + std::to_string(n), test::model_service,
                                          "ikeja-a", 10 + n));
            }
            catalog.replace(many, 600, start);
            const auto updates = catalog.updates_since(0, start);
            REQUIRE(updates.size() == 3);
            CHECK(other.on_update(updates[0], start));
            CHECK(other.revision() == 2);
            // A part is missing.
            CHECK_FALSE(other.on_update(updates[2], start));
            for (const auto& it : updates)
            {
                CHECK(other.on_update(it, start));
            }
            CHECK(other.revision() == 600);
            CHECK(other_view.count(start) == 500);
        }
    }
}

namespace
{

endpoint_change
entry_at(const std::string& name, store_revision revision, incarnation epoch, bool leaving = false)
{
    auto result = make_entry(name, test::model_service, "ikeja-a", revision.number);
    result.revision = revision;
    result.info->epoch = epoch;
    result.info->leaving = leaving;
    return result;
}

} // namespace

TEST_CASE("an endpoint catalog whose registry comes back from an older copy")
{
    // Numbers alone made the catalog ignore the registry until it had passed the number from
    // before.
    endpoint_catalog catalog;
    list_reader view{catalog};
    const auto find = [&](const std::string& name)
    {
        (void)view.count(start + milliseconds{1});
        return view.list->find(endpoint_id::of(name));
    };
    catalog.on_contact(start);
    catalog.replace({entry_at("one", 40, 7), entry_at("two", 41, 7)}, 50, start);
    catalog.apply({removal("gone", 45)}, 51, start);
    catalog.apply({entry_at("left", 46, 7)}, 51, start);
    catalog.apply({removal("left", 48)}, 51, start);
    REQUIRE(view.count(start) == 2);

    SUBCASE("takes an endpoint that moved since, by its later start")
    {
        catalog.replace({entry_at("one", {1, 17}, 8), entry_at("two", {1, 10}, 7)}, {1, 17}, start);
        CHECK(catalog.revision() == store_revision{1, 17});
        CHECK(find("one")->epoch == 8);
        CHECK(find("one")->address == "10.0.0.1:1017");

        SUBCASE("and ignores what was read in the era before and arrives late")
        {
            catalog.replace({entry_at("one", 60, 9)}, 60, start);
            catalog.apply({entry_at("new", 61, 9)}, 61, start);
            CHECK(find("one")->epoch == 8);
            CHECK(find("new") == nullptr);
        }
    }
    SUBCASE("keeps an entry that is newer than its row, until it is written again")
    {
        catalog.replace({entry_at("one", {1, 9}, 6), entry_at("two", {1, 10}, 7)}, {1, 16}, start);
        CHECK(find("one")->epoch == 7);
        catalog.apply({entry_at("one", {1, 17}, 7, true)}, {1, 17}, start);
        CHECK(find("one")->leaving);

        SUBCASE("and an endpoint that shuts down is not ready again")
        {
            catalog.replace({entry_at("one", {2, 9}, 7), entry_at("two", {2, 10}, 7)}, {2, 16},
                            start);
            CHECK(find("one")->leaving);
        }
    }
    SUBCASE("keeps an entry without a row for the grace period, then drops it")
    {
        catalog.replace({entry_at("two", {1, 10}, 7)}, {1, 16}, start);
        CHECK(view.count(start + endpoint_catalog::recovery_grace - milliseconds{1}) == 2);
        CHECK(view.count(start + endpoint_catalog::recovery_grace) == 1);
        const auto change = catalog.take_era_change();
        CHECK(change == era_change{51, {1, 16}, 1, 0, 1});
        CHECK_FALSE(catalog.take_era_change());
    }
    SUBCASE("does not list a removed endpoint again because the copy still has it")
    {
        catalog.replace(
            {entry_at("one", {1, 9}, 7), entry_at("two", {1, 10}, 7), entry_at("left", {1, 12}, 7)},
            {1, 16}, start);
        CHECK(find("left") == nullptr);
        catalog.apply({entry_at("left", {1, 17}, 7)}, {1, 17}, start);
        CHECK(find("left") != nullptr);
    }
    SUBCASE("replicates what it holds to an instance that is in the era before")
    {
        endpoint_catalog other;
        list_reader others{other};
        other.replace({entry_at("one", 40, 7), entry_at("two", 41, 7)}, 50, start);
        catalog.replace({entry_at("one", {1, 17}, 8)}, {1, 17}, start);
        for (const auto& it : catalog.updates_since(other.revision(), start))
        {
            CHECK(other.on_update(it, start));
        }
        CHECK(other.revision() == store_revision{1, 17});
        CHECK(others.count(start) == 2);
        CHECK(others.list->find(endpoint_id::of("one"))->epoch == 8);
        CHECK(others.count(start + endpoint_catalog::recovery_grace) == 1);

        SUBCASE("and an instance of the era before does not overrule it")
        {
            endpoint_catalog late;
            late.replace({entry_at("one", 60, 9)}, 60, start);
            for (const auto& it : late.updates_since({}, start))
            {
                CHECK(other.on_update(it, start));
            }
            CHECK(others.list->find(endpoint_id::of("one"))->epoch == 8);
        }
    }
}

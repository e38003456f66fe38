// Tests of the catalog of endpoints: outages of the registry, and its spread between instances.
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

/// The list in force after what has happened so far.
struct listed
{
    explicit listed(endpoint_catalog& it) : catalog{it} {}

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

TEST_CASE("the catalog of endpoints")
{
    endpoint_catalog catalog;
    listed view{catalog};
    catalog.on_contact(start);
    catalog.replace({make_entry("one", test::model_service, "ikeja-a", 1),
                     make_entry("two", test::model_service, "lekki-b", 2)},
                    2, start);
    REQUIRE(view.count(start) == 2);
    CHECK(catalog.take_changed(start) == nullptr);

    SUBCASE("drops an entry that is removed at once")
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
    SUBCASE("an entry that cannot be read names no endpoint, and harms no other")
    {
        catalog.apply({removal("one", 3), removal("unknown", 4)}, 4, start);
        CHECK(view.count(start) == 1);
        CHECK(view.list->find(endpoint_id::of("two")) != nullptr);
    }
    SUBCASE("tells since when an endpoint is warm that came cold")
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

        SUBCASE("after its entry no longer says so")
        {
            catalog.apply({warm}, 4, start + seconds{4});
            CHECK(cold_until(start + seconds{4}) == start + seconds{3});
        }
        SUBCASE("when it is warm sooner than it said")
        {
            catalog.apply({warm}, 4, start + seconds{1});
            CHECK(cold_until(start + seconds{1}) == start + seconds{1});
        }
        SUBCASE("to other instances as well")
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
            listed others{other};
            (void)others.count(start + seconds{4});
            CHECK(others.list->find(endpoint_id::of("new"))->cold_until == start + seconds{3});
        }
        SUBCASE("but not of its next incarnation")
        {
            warm.info->epoch = 2;
            catalog.apply({warm}, 4, start + seconds{4});
            CHECK(cold_until(start + seconds{4}) == time_point{});
        }
    }
    SUBCASE("when the registry was away, entries that lapsed")
    {
        catalog.on_outage(start + seconds{1});
        const auto back = start + seconds{6};
        catalog.on_contact(back);
        catalog.replace({make_entry("two", test::model_service, "lekki-b", 2)}, 9, back);

        SUBCASE("stay listed until they had time to come back")
        {
            CHECK(view.count(back + milliseconds{1999}) == 2);
            CHECK(view.count(back + endpoint_catalog::recovery_grace) == 1);
        }
        SUBCASE("stay listed when they come back")
        {
            catalog.apply({make_entry("one", test::model_service, "ikeja-a", 10)}, 10,
                          back + seconds{1});
            CHECK(view.count(back + seconds{5}) == 2);
        }
        SUBCASE("are kept as long by the instances that are told")
        {
            endpoint_catalog other;
            listed other_view{other};
            for (const auto& it : catalog.updates_since(0, back))
            {
                CHECK(other.on_update(it, back));
            }
            CHECK(other_view.count(back) == 2);
            CHECK(other_view.count(back + endpoint_catalog::recovery_grace) == 1);
        }
    }
    SUBCASE("an instance that was cut off alone drops at once what left meanwhile")
    {
        // It held removals for 2 s after its own return, and told the others to hold them too:
        // requests reached an endpoint 2,046 ms after it had begun to leave.
        catalog.on_outage(start + seconds{1});
        const auto back = start + seconds{9};
        for (auto now = start; now <= back; now += milliseconds{200})
        {
            catalog.on_peer_contact(now);
        }
        catalog.on_contact(back);
        catalog.apply({removal("one", 3)}, 3, back);
        CHECK(view.count(back) == 1);

        SUBCASE("but not when the others have only just been answered again")
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
    SUBCASE("a call that failed once is no outage")
    {
        catalog.on_outage(start);
        catalog.on_contact(start + milliseconds{100});
        catalog.apply({removal("one", 3)}, 3, start + milliseconds{100});
        CHECK(view.count(start + milliseconds{100}) == 1);
    }
    SUBCASE("another instance")
    {
        endpoint_catalog other;
        listed other_view{other};
        for (const auto& it : catalog.updates_since(0, start))
        {
            REQUIRE(other.on_update(it, start));
        }
        REQUIRE(other_view.count(start) == 2);
        CHECK(other.revision() == 2);

        SUBCASE("takes the changes after what it knows")
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
        SUBCASE("refuses changes that do not join on, and asks again")
        {
            catalog.apply({removal("one", 4)}, 4, start);
            auto update = catalog.updates_since(3, start).front();
            update.since = 3;
            CHECK_FALSE(other.on_update(update, start));
            CHECK(other.revision() == 2);
        }
        SUBCASE("learns of a removal that the sender has forgotten")
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
        SUBCASE("takes a long list in parts, and none of it twice")
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
            // A part is missing: the list is not complete.
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

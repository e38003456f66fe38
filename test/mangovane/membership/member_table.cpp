// Tests of the failure detector in simulated fleets with fixed seeds: how fast the members detect
// failures, returns and partitions, and how much control traffic that takes. They guard against a
// dead member that still receives requests, a live one that is dropped, and a membership protocol
// that exceeds its traffic budget in a large fleet.
#include "mangovane/membership/member_table.hpp"

#include <algorithm>

#include <doctest/doctest.h>

#include "mangovane/membership/simulated_fleet.hpp"

using namespace mangovane;

namespace
{

/// Time within which all members must have detected a dead one: its next probe (within 1 s with
/// probability 0.86, 2 s with 0.98), the probe's timeout of 0.5 s, the suspicion of 2 s, and the
/// dissemination to all.
constexpr milliseconds detection_limit{6000};

} // namespace

TEST_CASE("a fleet of 13 instances")
{
    simulated_fleet it{13, 20261204};
    it.settle(seconds{10});
    REQUIRE(it.full_views());

    SUBCASE("detects a dead member everywhere within a bounded time")
    {
        it.nodes[4].up = false;
        const auto time = it.run_until([&] { return it.all_see(4, false); }, seconds{20});
        MESSAGE("detected everywhere after " << time.count() << " ms");
        CHECK(time <= detection_limit);
        CHECK(time >= milliseconds{2000});

        SUBCASE("and the restarted member, which receives all members")
        {
            it.start(4);
            it.nodes[4].table->on_platform_list(it.list(1), it.now);
            const auto back =
                it.run_until([&] { return it.all_see(4, true) && it.full_views(); }, seconds{20});
            MESSAGE("in all views after " << back.count() << " ms");
            CHECK(back <= seconds{5});
        }
    }

    SUBCASE("reconnects to a member that only others reach (guards against a connection that stays "
            "open "
            "but delivers nothing)")
    {
        it.broken_connections = {{0, 4}, {7, 4}};
        bool present = true;
        // Each member is probed once in 12 periods of 0.5 s.
        const auto time = it.run_until(
            [&]
            {
                present = present && it.all_see(4, true);
                return it.broken_connections.empty();
            },
            seconds{15});
        CHECK(time <= seconds{13});
        CHECK(present);
    }

    SUBCASE("drops a leaving member immediately, and does not add it again")
    {
        it.send(4, it.nodes[4].table->leave(it.now));
        it.run(simulated_fleet::step * 2);
        CHECK(it.all_see(4, false));
        it.run(seconds{5});
        // It still acknowledges probes, but `left` is final for its incarnation.
        CHECK(it.all_see(4, false));
        CHECK_FALSE(it.find(4, 4)->eligible);
    }

    SUBCASE(
        "recovers from a pause of one member (guards against that member marking all others dead, "
        "because their messages waited unread)")
    {
        it.nodes[4].paused = true;
        const auto expires = it.nodes[4].table->view()->valid_until();
        it.run(seconds{5});
        CHECK(it.all_see(4, false));
        CHECK(expires < it.now);
        CHECK(it.nodes[4].table->view()->valid_until() == expires);
        it.nodes[4].paused = false;
        it.run(milliseconds{200});
        CHECK(it.nodes[4].table->view()->valid_until() > it.now);
        bool others_live = true;
        const auto back = it.run_until(
            [&]
            {
                others_live = others_live && it.nodes[4].table->view()->members().size() == 13;
                return it.full_views();
            },
            seconds{20});
        MESSAGE("in all views again after " << back.count() << " ms");
        CHECK(back <= seconds{10});
        CHECK(others_live);
    }

    SUBCASE("keeps a member that one other cannot reach (guards against a single broken link)")
    {
        it.is_link_down = [](std::size_t from, std::size_t to)
        { return (from == 1 && to == 2) || (from == 2 && to == 1); };
        for (int n = 0; n != 300; ++n)
        {
            it.run(milliseconds{100});
            REQUIRE(it.all_see(2, true));
            REQUIRE(it.all_see(1, true));
        }
    }

    SUBCASE("splits into two views in a partition, and merges them afterwards")
    {
        it.is_link_down = [](std::size_t from, std::size_t to) { return (from < 7) != (to < 7); };
        const auto split = it.run_until(
            [&]
            {
                return it.nodes[0].table->view()->members().size() == 7 &&
                       it.nodes[12].table->view()->members().size() == 6;
            },
            seconds{60});
        MESSAGE("split after " << split.count() << " ms");
        CHECK(split <= seconds{20});
        it.run(seconds{60});
        CHECK(it.nodes[6].table->view()->members().size() == 7);
        CHECK(it.nodes[7].table->view()->members().size() == 6);
        CHECK(it.nodes[7].table->view()->valid_until() > it.now);
        it.is_link_down = nullptr;
        const auto healed = it.run_until([&] { return it.full_views(); }, seconds{60});
        MESSAGE("healed after " << healed.count() << " ms");
        CHECK(healed <= seconds{20});
    }

    SUBCASE("announces a settings version and names a member that holds it")
    {
        it.nodes[3].table->set_settings_stamp({8, 80});
        instance_id holder;
        const auto time = it.run_until(
            [&]
            {
                return std::all_of(
                    it.nodes.begin(), it.nodes.end(),
                    [&](const auto& node)
                    { return node.table->newest_settings_stamp(holder).version == 8; });
            },
            seconds{20});
        MESSAGE("announced everywhere after " << time.count() << " ms");
        CHECK(time <= seconds{2});
        CHECK(it.nodes[9].table->newest_settings_stamp(holder) == settings_stamp{8, 80});
        CHECK(holder == it.id_of(3));
    }
}

TEST_CASE("a fleet of 360 instances")
{
    simulated_fleet it{360, 20261205};
    it.settle(seconds{10});
    REQUIRE(it.run_until([&] { return it.full_views(); }, seconds{60}) < seconds{60});
    it.run(seconds{60});
    const auto reset = [&]
    { std::for_each(it.nodes.begin(), it.nodes.end(), [](auto& node) { node.bytes = 0; }); };
    const auto mean = [&](seconds time)
    {
        std::uint64_t sum = 0;
        for (const auto& node : it.nodes)
        {
            sum += node.bytes;
        }
        return sum / it.nodes.size() / static_cast<std::uint64_t>(time.count());
    };
    const auto peak = [&](seconds time)
    {
        std::uint64_t most = 0;
        for (const auto& node : it.nodes)
        {
            most = std::max(most, node.bytes);
        }
        return most / static_cast<std::uint64_t>(time.count());
    };

    SUBCASE("stays within the membership budget of 3 KB/s, idle and with a dead member")
    {
        reset();
        it.run(seconds{10});
        MESSAGE("idle: mean " << mean(seconds{10}) << " B/s, most " << peak(seconds{10}) << " B/s");
        CHECK(mean(seconds{10}) < 3000);
        reset();
        it.nodes[77].up = false;
        const auto start = it.now;
        const auto time = it.run_until([&] { return it.all_see(77, false); }, seconds{30});
        MESSAGE("a dead member detected everywhere after " << time.count() << " ms");
        CHECK(time <= milliseconds{9000});
        it.run(seconds{20} - std::chrono::duration_cast<milliseconds>(it.now - start));
        MESSAGE("with a dead member: mean " << mean(seconds{20}) << " B/s, most "
                                            << peak(seconds{20}) << " B/s");
        CHECK(mean(seconds{20}) < 3000);
        // A replacement receives all members within the total control budget of 21 KB/s.
        it.start(77);
        it.nodes[77].table->on_platform_list(it.list(3), it.now);
        reset();
        const auto joined = it.run_until([&] { return it.full_views(); }, seconds{60});
        MESSAGE("a restart in all views after " << joined.count() << " ms");
        CHECK(joined <= seconds{10});
        it.run(seconds{10} - joined);
        MESSAGE("with a restart: mean " << mean(seconds{10}) << " B/s, most " << peak(seconds{10})
                                        << " B/s");
        CHECK(peak(seconds{10}) < 21000);
    }

    SUBCASE("detects the loss of a failure domain of 51 members")
    {
        reset();
        for (std::size_t n = 0; n != 51; ++n)
        {
            it.nodes[n].up = false;
        }
        const auto time = it.run_until(
            [&]
            {
                return std::all_of(it.nodes.begin() + 51, it.nodes.end(),
                                   [](const auto& node)
                                   { return node.table->view()->members().size() == 309; });
            },
            seconds{120});
        MESSAGE("loss of a domain detected everywhere after " << time.count() << " ms");
        CHECK(time < seconds{60});
        it.run(std::max(milliseconds{0}, milliseconds{30000} - time));
        MESSAGE("most in 30 s: " << peak(seconds{30}) << " B/s");
        CHECK(peak(seconds{30}) < 21000);
    }

    SUBCASE(
        "announces a settings version within 5 s, in time for a change to take effect within 6 s")
    {
        it.nodes[3].table->set_settings_stamp({8, 80});
        instance_id holder;
        const auto time = it.run_until(
            [&]
            {
                return std::all_of(
                    it.nodes.begin(), it.nodes.end(),
                    [&](const auto& node)
                    { return node.table->newest_settings_stamp(holder).version == 8; });
            },
            seconds{20});
        MESSAGE("announced everywhere after " << time.count() << " ms");
        CHECK(time <= seconds{5});
    }
}

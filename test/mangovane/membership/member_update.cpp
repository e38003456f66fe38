// Tests of the rules for single facts, with one member table.
#include <algorithm>

#include <doctest/doctest.h>

#include "mangovane/membership/member_table.hpp"

using namespace mangovane;

namespace
{

const instance_id self_id = instance_id::of("a");
const instance_id other = instance_id::of("b");
const time_point start{seconds{1000}};

member self()
{
    member result{self_id, 10};
    result.name = "a";
    result.address = "127.0.0.1:1";
    return result;
}

member_update fact(incarnation epoch, std::uint32_t refutations, member_state state)
{
    return {other, epoch, refutations, state, "b", "127.0.0.1:2", domain_id{1}, {}};
}

/// A table to which one other member reports facts about itself.
struct pair_of_members
{
    member_table table{self(), {}, 1};
    time_point now{start};

    void tell(member_update it) { table.on_probe(other, probe{1, {}, {std::move(it)}}, now); }
    const member* find() { return table.view()->find(other); }

    /// Ticks and answers each probe, so that the member stays alive.
    void run(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += milliseconds{100})
        {
            for (const auto& it : table.tick(now))
            {
                if (const auto* sent = std::get_if<probe>(&it.body))
                {
                    table.on_probe_ack(other, probe_ack{sent->sequence, other, {}, {}}, now);
                }
            }
        }
    }
};

} // namespace

TEST_CASE("facts about a member")
{
    pair_of_members it;
    it.tell(fact(5, 0, member_state::alive));
    REQUIRE(it.find() != nullptr);

    SUBCASE("a suspicion is refuted by a higher number only")
    {
        it.tell(fact(5, 0, member_state::suspect));
        CHECK(it.find()->state == member_state::suspect);
        it.tell(fact(5, 0, member_state::alive));
        CHECK(it.find()->state == member_state::suspect);
        it.tell(fact(5, 1, member_state::alive));
        CHECK(it.find()->state == member_state::alive);
    }

    SUBCASE("a suspicion that is not refuted ends in death after 2 s")
    {
        it.tell(fact(5, 0, member_state::suspect));
        it.run(milliseconds{1900});
        CHECK(it.find() != nullptr);
        it.run(milliseconds{300});
        CHECK(it.find() == nullptr);
    }

    SUBCASE("left is final for its incarnation, and a restart begins a new one")
    {
        it.tell(fact(5, 0, member_state::left));
        CHECK(it.find() == nullptr);
        it.tell(fact(5, 9, member_state::alive));
        CHECK(it.find() == nullptr);
        it.tell(fact(6, 0, member_state::alive));
        CHECK(it.find() != nullptr);
    }

    SUBCASE("an old incarnation changes nothing (guards against late facts after a restart)")
    {
        it.tell(fact(4, 9, member_state::dead));
        CHECK(it.find()->state == member_state::alive);
    }

    SUBCASE("the third return in 30 s is damped until it was stable for 10 s")
    {
        for (incarnation epoch = 6; epoch != 8; ++epoch)
        {
            it.tell(fact(epoch, 0, member_state::alive));
            CHECK(it.find()->eligible);
        }
        it.tell(fact(8, 0, member_state::alive));
        CHECK_FALSE(it.find()->eligible);
        it.run(milliseconds{9900});
        CHECK_FALSE(it.find()->eligible);
        it.run(milliseconds{300});
        CHECK(it.find()->eligible);
    }
}

TEST_CASE("a member that hears of its own suspicion refutes it in its answer")
{
    member_table table{self(), {}, 1};
    const member_update wrong{self_id, 10, 3, member_state::dead};
    const auto out = table.on_probe(other, probe{1, {}, {wrong}}, start);
    REQUIRE(out.size() == 1);
    const auto& updates = std::get<probe_ack>(out.front().body).updates;
    const auto own = std::find_if(updates.begin(), updates.end(),
                                  [](const auto& it) { return it.instance == self_id; });
    REQUIRE(own != updates.end());
    CHECK(own->state == member_state::alive);
    CHECK(own->refutations == 4);
}

TEST_CASE("the platform's list")
{
    pair_of_members it;
    const listed_instance row{"b", "127.0.0.1:2", domain_id{1}, false};
    auto leaving = row;
    leaving.leaving = true;

    SUBCASE("adds an unknown instance, which is dropped when it does not answer")
    {
        it.table.on_platform_list({row}, it.now);
        CHECK(it.find() != nullptr);
        for (; it.now < start + seconds{4}; it.now += milliseconds{100})
        {
            it.table.tick(it.now);
        }
        CHECK(it.find() == nullptr);
        // Another list that still names it does not bring it back.
        it.table.on_platform_list({row}, it.now);
        CHECK(it.find() == nullptr);
    }

    SUBCASE("does not bring back a member that left")
    {
        it.tell(fact(5, 0, member_state::alive));
        it.tell(fact(5, 0, member_state::left));
        it.table.on_platform_list({row}, it.now);
        CHECK(it.find() == nullptr);
    }

    SUBCASE("does not remove a member that it lacks")
    {
        it.tell(fact(5, 0, member_state::alive));
        it.table.on_platform_list({}, it.now);
        CHECK(it.find()->eligible);
    }

    SUBCASE("marks a leaving member, but not its successor (guards against a lagging list)")
    {
        it.tell(fact(5, 0, member_state::alive));
        it.table.on_platform_list({leaving}, it.now);
        CHECK_FALSE(it.find()->eligible);
        it.tell(fact(6, 0, member_state::alive));
        it.table.on_platform_list({leaving}, it.now);
        CHECK(it.find()->eligible);
    }
}

TEST_CASE("a view is built anew only when it changes or is extended")
{
    pair_of_members it;
    it.tell(fact(5, 0, member_state::alive));
    it.run(milliseconds{100});
    const auto before = it.table.view();
    it.run(milliseconds{300});
    CHECK(it.table.view() == before);
    it.run(milliseconds{300});
    CHECK(it.table.view() != before);
    CHECK(it.table.view()->version() == before->version());
    CHECK(it.table.view()->valid_until() > before->valid_until());
}

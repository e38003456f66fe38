// Tests of the rules by which single membership updates supersede each other, with one member
// table. A late or wrong update must neither drop a live member nor bring back one that left.
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

member_update make_update(incarnation epoch, std::uint32_t refutations, member_state state)
{
    return {other, epoch, refutations, state, "b", "127.0.0.1:2", domain_id{1}, {}};
}

/// A table that receives updates from one other member.
struct pair_of_members
{
    member_table table{self(), {}, 1};
    time_point now{start};

    void receive(member_update it) { table.on_probe(other, probe{1, {}, {std::move(it)}}, now); }
    const member* find() { return table.view()->find(other); }

    /// Ticks and acknowledges each probe, so that the member stays alive.
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

TEST_CASE("updates about a member")
{
    pair_of_members it;
    it.receive(make_update(5, 0, member_state::alive));
    REQUIRE(it.find() != nullptr);

    SUBCASE("a suspicion is refuted only by a higher number of refutations")
    {
        it.receive(make_update(5, 0, member_state::suspect));
        CHECK(it.find()->state == member_state::suspect);
        it.receive(make_update(5, 0, member_state::alive));
        CHECK(it.find()->state == member_state::suspect);
        it.receive(make_update(5, 1, member_state::alive));
        CHECK(it.find()->state == member_state::alive);
    }

    SUBCASE("a suspect that does not refute is dead after 2 s")
    {
        it.receive(make_update(5, 0, member_state::suspect));
        it.run(milliseconds{1900});
        CHECK(it.find() != nullptr);
        it.run(milliseconds{300});
        CHECK(it.find() == nullptr);
    }

    SUBCASE("left is final for its incarnation, and a restart begins a new one")
    {
        it.receive(make_update(5, 0, member_state::left));
        CHECK(it.find() == nullptr);
        it.receive(make_update(5, 9, member_state::alive));
        CHECK(it.find() == nullptr);
        it.receive(make_update(6, 0, member_state::alive));
        CHECK(it.find() != nullptr);
    }

    SUBCASE("an older incarnation is ignored (guards against late updates after a restart)")
    {
        it.receive(make_update(4, 9, member_state::dead));
        CHECK(it.find()->state == member_state::alive);
    }

    SUBCASE("a member that returns for the third time in 30 s is not eligible for 10 s")
    {
        for (incarnation epoch = 6; epoch != 8; ++epoch)
        {
            it.receive(make_update(epoch, 0, member_state::alive));
            CHECK(it.find()->eligible);
        }
        it.receive(make_update(8, 0, member_state::alive));
        CHECK_FALSE(it.find()->eligible);
        it.run(milliseconds{9900});
        CHECK_FALSE(it.find()->eligible);
        it.run(milliseconds{300});
        CHECK(it.find()->eligible);
    }
}

TEST_CASE("a member that receives a suspicion of itself refutes it in its acknowledgement")
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

    SUBCASE("adds an unknown instance, which is dropped when it does not respond")
    {
        it.table.on_platform_list({row}, it.now);
        CHECK(it.find() != nullptr);
        for (; it.now < start + seconds{4}; it.now += milliseconds{100})
        {
            it.table.tick(it.now);
        }
        CHECK(it.find() == nullptr);
        // A later list that still has the instance does not add it again.
        it.table.on_platform_list({row}, it.now);
        CHECK(it.find() == nullptr);
    }

    SUBCASE("does not add a member again that left")
    {
        it.receive(make_update(5, 0, member_state::alive));
        it.receive(make_update(5, 0, member_state::left));
        it.table.on_platform_list({row}, it.now);
        CHECK(it.find() == nullptr);
    }

    SUBCASE("does not remove a member that is missing in it")
    {
        it.receive(make_update(5, 0, member_state::alive));
        it.table.on_platform_list({}, it.now);
        CHECK(it.find()->eligible);
    }

    SUBCASE("marks a leaving member, but not its next incarnation (guards against a lagging list)")
    {
        it.receive(make_update(5, 0, member_state::alive));
        it.table.on_platform_list({leaving}, it.now);
        CHECK_FALSE(it.find()->eligible);
        it.receive(make_update(6, 0, member_state::alive));
        it.table.on_platform_list({leaving}, it.now);
        CHECK(it.find()->eligible);
    }
}

TEST_CASE("a view is replaced only when its members change or its validity is extended")
{
    pair_of_members it;
    it.receive(make_update(5, 0, member_state::alive));
    it.run(milliseconds{100});
    const auto before = it.table.view();
    it.run(milliseconds{300});
    CHECK(it.table.view() == before);
    it.run(milliseconds{300});
    CHECK(it.table.view() != before);
    CHECK(it.table.view()->version() == before->version());
    CHECK(it.table.view()->valid_until() > before->valid_until());
}

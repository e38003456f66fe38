// Tests of the reader election: exactly one reader per domain, and a replacement when it fails.
// Guards against late changes when a reader or its store fails, and against needless reads.
#include "mangovane/forward/reader_election.hpp"

#include <algorithm>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{100}};

/// Instances of two domains with the same membership view.
class election_group
{
public:
    election_group()
    {
        std::vector<member> members;
        for (std::uint64_t n = 1; n <= 8; ++n)
        {
            member it{instance_id{n * 7919}, 1};
            it.domain = domain_id{n <= 5 ? 1U : 2U};
            members.push_back(it);
            elections.push_back(std::make_unique<reader_election>(it.id, it.domain, start));
        }
        view_members = members;
        view = std::make_shared<membership_view>(1, start + seconds{1000}, members);
    }

    [[nodiscard]] std::vector<std::size_t> reading(time_point now, std::size_t last = 5) const
    {
        std::vector<std::size_t> result;
        for (std::size_t n = 0; n != last; ++n)
        {
            if (elections[n]->should_read(*view, now))
            {
                result.push_back(n);
            }
        }
        return result;
    }

    /// Sends the state of a reader to all instances.
    void send_state(std::size_t from, std::uint32_t age_ms, time_point now)
    {
        for (auto& it : elections)
        {
            it->on_state(view_members[from].id, {{1, 1}, 1, age_ms}, *view, now);
        }
    }

    std::vector<std::unique_ptr<reader_election>> elections;
    std::vector<member> view_members;
    view_ptr view;
};

} // namespace

TEST_CASE("the instances of a domain")
{
    election_group fleet;
    const auto first = fleet.reading(start);
    REQUIRE(first.size() == 1);
    const auto reader = first.front();

    SUBCASE("have one reader while the others receive its states")
    {
        for (auto now = start; now < start + seconds{10}; now += reader_election::feed_state_period)
        {
            fleet.send_state(reader, 100, now);
            CHECK(fleet.reading(now + reader_election::feed_state_period) == first);
        }
    }
    SUBCASE("have another reader within 1.5 s when the first sends no states")
    {
        fleet.send_state(reader, 100, start);
        const auto later = start + milliseconds{1500};
        const auto now_reading = fleet.reading(later);
        CHECK(now_reading.size() >= 2);

        SUBCASE("and no third while the second sends states")
        {
            const auto second = now_reading.front() == reader ? now_reading[1] : now_reading[0];
            std::size_t without_third = 0;
            for (const auto candidate : now_reading)
            {
                election_group other;
                other.send_state(candidate, 100, later);
                without_third += other.reading(later + milliseconds{300}).size() <= 2 ? 1 : 0;
            }
            CHECK(without_third >= 1);
            (void)second;
        }
    }
    SUBCASE(
        "have another reader within 0.5 s when the first reports that its store does not answer")
    {
        // Guards against late changes when all readers lose the store at once: with the timeout for
        // silent readers they arrived later than operators allow.
        fleet.send_state(reader, 100, start);
        fleet.send_state(reader, UINT32_MAX, start + milliseconds{200});
        CHECK(fleet.reading(start + milliseconds{500}).size() == 2);
    }
    SUBCASE("have few additional readers while the store does not answer: each read is billed")
    {
        for (auto now = start; now < start + seconds{10}; now += reader_election::feed_state_period)
        {
            fleet.send_state(reader, 60000, now);
        }
        const auto trying = fleet.reading(start + seconds{10});
        CHECK(trying.size() >= 2);
        CHECK(trying.size() <= 3);
    }
    SUBCASE("receive the states of their reader, as does the first reader of the other domain")
    {
        const auto recipients = fleet.elections[reader]->recipients(*fleet.view);
        CHECK(recipients.size() == 4 + 1);
        CHECK(std::find(recipients.begin(), recipients.end(), fleet.view_members[reader].id) ==
              recipients.end());
    }
    SUBCASE("ignore states from readers of another domain")
    {
        fleet.send_state(6, 100, start + seconds{5});
        fleet.send_state(7, 100, start + seconds{5});
        CHECK(fleet.reading(start + seconds{5}).size() == 5);
    }
}

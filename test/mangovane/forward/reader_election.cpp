// Tests of the duty to read the store: exactly one reader a domain, and another when it fails.
#include "mangovane/forward/reader_election.hpp"

#include <algorithm>
#include <memory>
#include <vector>

#include <doctest/doctest.h>

using namespace mangovane;

namespace
{

const time_point start{seconds{100}};

/// Instances of two domains that all see the same members.
class readers
{
public:
    readers()
    {
        std::vector<member> members;
        for (std::uint64_t n = 1; n <= 8; ++n)
        {
            member it{instance_id{n * 7919}, 1};
            it.domain = domain_id{n <= 5 ? 1U : 2U};
            members.push_back(it);
            duties.push_back(std::make_unique<reader_election>(it.id, it.domain, start));
        }
        view_members = members;
        view = std::make_shared<membership_view>(1, start + seconds{1000}, members);
    }

    [[nodiscard]] std::vector<std::size_t> reading(time_point now, std::size_t last = 5) const
    {
        std::vector<std::size_t> result;
        for (std::size_t n = 0; n != last; ++n)
        {
            if (duties[n]->should_read(*view, now))
            {
                result.push_back(n);
            }
        }
        return result;
    }

    /// A reader tells all others of its state.
    void tell(std::size_t from, std::uint32_t age_ms, time_point now)
    {
        for (auto& it : duties)
        {
            it->on_state(view_members[from].id, {{1, 1}, 1, age_ms}, *view, now);
        }
    }

    std::vector<std::unique_ptr<reader_election>> duties;
    std::vector<member> view_members;
    view_ptr view;
};

} // namespace

TEST_CASE("of the instances of a domain")
{
    readers fleet;
    const auto first = fleet.reading(start);
    REQUIRE(first.size() == 1);
    const auto reader = first.front();

    SUBCASE("one reads while the others hear it")
    {
        for (auto now = start; now < start + seconds{10}; now += reader_election::feed_state_period)
        {
            fleet.tell(reader, 100, now);
            CHECK(fleet.reading(now + reader_election::feed_state_period) == first);
        }
    }
    SUBCASE("another takes over within a second and a half when the reader falls silent")
    {
        fleet.tell(reader, 100, start);
        const auto later = start + milliseconds{1500};
        const auto now_reading = fleet.reading(later);
        CHECK(now_reading.size() >= 2);

        SUBCASE("and no third while the second is heard")
        {
            const auto second = now_reading.front() == reader ? now_reading[1] : now_reading[0];
            std::size_t heard_by_all = 0;
            for (const auto candidate : now_reading)
            {
                readers other;
                other.tell(candidate, 100, later);
                heard_by_all += other.reading(later + milliseconds{300}).size() <= 2 ? 1 : 0;
            }
            CHECK(heard_by_all >= 1);
            (void)second;
        }
    }
    SUBCASE("another takes over within half a second when the reader says that its store is away")
    {
        // With the limit for silent readers, changes came later than operators allow when all
        // readers lost the store at once.
        fleet.tell(reader, 100, start);
        fleet.tell(reader, UINT32_MAX, start + milliseconds{200});
        CHECK(fleet.reading(start + milliseconds{500}).size() == 2);
    }
    SUBCASE("few try as well when the store does not answer the reader: calls have a price")
    {
        for (auto now = start; now < start + seconds{10}; now += reader_election::feed_state_period)
        {
            fleet.tell(reader, 60000, now);
        }
        const auto trying = fleet.reading(start + seconds{10});
        CHECK(trying.size() >= 2);
        CHECK(trying.size() <= 3);
    }
    SUBCASE("a reader tells its own domain, and one reader of the other")
    {
        const auto recipients = fleet.duties[reader]->recipients(*fleet.view);
        CHECK(recipients.size() == 4 + 1);
        CHECK(std::find(recipients.begin(), recipients.end(), fleet.view_members[reader].id) ==
              recipients.end());
    }
    SUBCASE("a state of another domain's reader does not stop this domain's")
    {
        fleet.tell(6, 100, start + seconds{5});
        fleet.tell(7, 100, start + seconds{5});
        CHECK(fleet.reading(start + seconds{5}).size() == 5);
    }
}

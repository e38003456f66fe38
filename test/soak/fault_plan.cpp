// Guards against plans that change for a seed that once found a fault, so that its run no longer
// shows it, and against plans of changes that leave no time for the time bounds.
#include "soak/fault_plan.hpp"

#include <algorithm>
#include <string>

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>

#include "mangovane/core/hash.hpp"

using namespace mangovane;
using namespace mangovane::soak;

namespace
{

std::uint64_t digest(const fault_plan& plan)
{
    std::string text;
    for (const auto& it : plan.events)
    {
        absl::StrAppend(&text, std::string{name_of(it.kind)}, " ", it.from.count());
        absl::StrAppend(&text, " ", it.until.count(), " ", it.random_value, "\n");
    }
    return hash_bytes(text);
}

std::vector<fault_event> events_of(const fault_plan& plan, fault_kind kind)
{
    std::vector<fault_event> result;
    std::copy_if(plan.events.begin(), plan.events.end(), std::back_inserter(result),
                 [&](const fault_event& it) { return it.kind == kind; });
    return result;
}

} // namespace

TEST_CASE("the plans of the soak")
{
    SUBCASE("stay as they were for the seeds of CI")
    {
        CHECK(digest(make_plan(1, 10, false)) == 2276344033889754238U);
        CHECK(digest(make_plan(1000, 25, false)) == 2567224247562935140U);
        CHECK(digest(make_plan(2004, 30, false)) == 4818827416684078205U);
        CHECK(digest(make_stop_plan(1, 8, 6)) == 15247031269086657204U);
    }
    SUBCASE("have changes around each return of the store")
    {
        for (std::uint64_t seed = 1; seed != 100; ++seed)
        {
            CAPTURE(seed);
            const auto plan = make_change_plan(seed, 8);
            const auto returns = events_of(plan, fault_kind::store_returns_older);
            REQUIRE(returns.size() == 3);
            CHECK(plan == make_change_plan(seed, 8));

            // A return begins after the one before has ended and its rows were written again.
            CHECK(returns[0].until < returns[1].from);
            CHECK(returns[1].until + seconds{2} < returns[2].from);

            // Nothing but the last return disturbs the last phase.
            const auto quiet_from = returns[2].from - seconds{3};
            for (const auto& it : plan.events)
            {
                // Another fault of the store would replace its return.
                CHECK((it.kind < fault_kind::store_down || it.kind > fault_kind::store_forgets));
                const bool is_fault = static_cast<std::size_t>(it.kind) < first_planned_kind ||
                                      it.kind == fault_kind::uncontrolled_callers;
                CHECK((!is_fault || it.until < quiet_from));
            }
        }
    }
}

// Guards against checks that miss a bad version which gets too many requests, or a final status
// that changes, or that report a status which the store lost.
#include "soak/rollout_checker.hpp"

#include <doctest/doctest.h>

#include "soak/violation_names.hpp"

using namespace mangovane;
using namespace mangovane::soak;

namespace
{

const time_point start{seconds{1000}};
const std::string service{"ventanilla"};

/// Executions in the first two seconds after the order.
void add_runs(run_observations& observed, const std::string& version, int count, bool failed)
{
    for (int n = 0; n != count; ++n)
    {
        execution_record it;
        it.request = version + "-" + std::to_string(n);
        it.at = start + milliseconds{n};
        it.ended_at = it.at + milliseconds{20};
        it.service = service;
        it.version = version;
        it.failed = failed;
        observed.executions.push_back(it);
    }
}

/// An execution whose caller has sent the request at `at`.
void add_late_run(run_observations& observed, const std::string& version, milliseconds at)
{
    call_record call;
    call.request = "late";
    call.sending_at = start + at;
    observed.calls.push_back(call);
    execution_record it;
    it.request = call.request;
    it.at = call.sending_at + milliseconds{5};
    it.service = service;
    it.version = version;
    observed.executions.push_back(it);
}

std::vector<std::string> names(const run_observations& observed)
{
    return violated<rollout_checker>(observed);
}

} // namespace

TEST_CASE("the checks of rollouts")
{
    run_observations observed;
    observed.rollouts = {{service, "v1", "v2", start, seconds{10}, true}};

    SUBCASE("with a bad version that gets some of 1,000 requests")
    {
        add_runs(observed, "v1", 900, false);

        SUBCASE("accept its share and the tolerance")
        {
            add_runs(observed, "v2", 100, false);
            add_late_run(observed, "v1", seconds{11});
            CHECK(names(observed) == none);
        }
        SUBCASE("report more, once the deadline has passed")
        {
            add_runs(observed, "v2", 160, false);
            CHECK(names(observed) == none);
            add_late_run(observed, "v1", seconds{11});
            CHECK(names(observed) == only("rollout_share"));

            SUBCASE("but not of a good version")
            {
                observed.rollouts.front().bad = false;
                CHECK(names(observed) == none);
            }
        }
    }
    SUBCASE("with a bad version whose 50th failure ends after 69 ms")
    {
        add_runs(observed, "v2", 50, true);

        SUBCASE("accept a request that is sent within the bound")
        {
            add_late_run(observed, "v2", milliseconds{5060});
            CHECK(names(observed) == none);
        }
        SUBCASE("report one that is sent later")
        {
            add_late_run(observed, "v2", milliseconds{5080});
            CHECK(names(observed) == only("rollback"));

            SUBCASE("but not from a router that was disturbed")
            {
                observed.outages.end(observed.outages.begin(0, false, start + seconds{1}),
                                     start + seconds{2});
                CHECK(names(observed) == none);
            }
            SUBCASE("nor after fewer failures")
            {
                observed.executions.front().failed = false;
                CHECK(names(observed) == none);
            }
        }
    }
    SUBCASE("with a status that has become final")
    {
        observed.status_changes = {{"v2", "running", start + seconds{1}},
                                   {"v2", rollout_rolled_back, start + seconds{2}}};
        CHECK(names(observed) == none);

        SUBCASE("report another final state")
        {
            observed.status_changes.push_back({"v2", rollout_done, start + seconds{4}});
            CHECK(names(observed) == only("final_status"));

            SUBCASE("also when the store came back older")
            {
                observed.changes = {{change_kind::store_returned, {}, 0, start + seconds{3}}};
                CHECK(names(observed) == only("final_status"));
            }
        }
        SUBCASE("report that it runs again")
        {
            observed.status_changes.push_back({"v2", "running", start + seconds{4}});
            CHECK(names(observed) == only("final_status"));

            SUBCASE("unless the store came back without it")
            {
                observed.changes = {{change_kind::store_returned, {}, 0, start + seconds{3}}};
                CHECK(names(observed) == none);

                // It must be written again.
                add_late_run(observed, "v1", milliseconds{9500});
                CHECK(names(observed) == only("final_status_again"));
                observed.status_changes.push_back({"v2", rollout_rolled_back, start + seconds{5}});
                CHECK(names(observed) == none);
            }
        }
        SUBCASE("accept the status of the next order")
        {
            observed.rollouts.push_back({service, "v1", "v3", start + seconds{3}, seconds{10}});
            observed.status_changes.push_back({"v3", "running", start + seconds{4}});
            CHECK(names(observed) == none);
        }
    }
}

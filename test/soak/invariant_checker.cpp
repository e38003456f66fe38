// Guards against an invariant checker that misses a violation, so that soak runs pass with a fault
// in the router, or that reports allowed behaviour during a disturbance.
#include "soak/invariant_checker.hpp"

#include <doctest/doctest.h>

#include "soak/violation_names.hpp"

using namespace mangovane;
using namespace mangovane::soak;

namespace
{

const time_point start{seconds{1000}};

call_record make_call(const std::string& id, call_kind kind, unsigned status = 200)
{
    call_record result;
    result.request = id;
    result.kind = kind;
    result.written_at = start;
    result.sending_at = start;
    result.sent_in_time = true;
    result.ended_at = start + milliseconds{50};
    result.status = status;
    result.complete = status != 0;
    result.has_signature = status == 200;
    result.body_matches = status == 200;
    return result;
}

execution_record make_run(const std::string& id, const std::string& endpoint = "engine-1")
{
    return {id, endpoint, "ikeja-a", start + milliseconds{10}, true};
}

std::vector<std::string> names(const run_observations& observed)
{
    return violated<invariant_checker>(observed);
}

} // namespace

TEST_CASE("the invariant checker of a soak run")
{
    run_observations observed;

    SUBCASE("accepts requests that ran as allowed")
    {
        observed.calls = {make_call("a", call_kind::single_run),
                          make_call("b", call_kind::resumable_stream)};
        observed.executions = {make_run("a"), make_run("b"), make_run("b", "engine-2")};
        CHECK(names(observed) == none);
    }
    SUBCASE("reports a request that must run at most once and ran twice")
    {
        observed.calls = {make_call("a", call_kind::plain_stream, 0)};
        observed.executions = {make_run("a"), make_run("a")};
        CHECK(names(observed) == only("single_run"));
    }
    SUBCASE("reports a refusal of a request that ran")
    {
        observed.calls = {make_call("a", call_kind::single_run, 503)};
        observed.executions = {make_run("a")};
        CHECK(names(observed) == only("true_refusal"));

        SUBCASE("but not if the request is idempotent or the status guarantees nothing")
        {
            observed.calls = {make_call("a", call_kind::idempotent, 503),
                              make_call("b", call_kind::single_run, 502)};
            observed.executions = {make_run("a"), make_run("b")};
            CHECK(names(observed) == none);
        }
    }
    SUBCASE("reports responses with a body that the endpoint did not send")
    {
        auto call = make_call("a", call_kind::resumable_stream);
        call.body_matches = false;
        observed.calls = {call};
        observed.executions = {make_run("a")};
        CHECK(names(observed) == only("whole_answer"));

        SUBCASE("or without its signature")
        {
            observed.calls.front().body_matches = true;
            observed.calls.front().has_signature = false;
            CHECK(names(observed) == only("whole_answer"));
        }
        SUBCASE("but not if they are visibly incomplete")
        {
            observed.calls.front().complete = false;
            CHECK(names(observed) == none);
        }
    }
    SUBCASE("reports a request that was modified on its way")
    {
        observed.calls = {make_call("a", call_kind::idempotent)};
        observed.executions = {make_run("a")};
        observed.executions.front().as_sent = false;
        CHECK(names(observed) == only("run_as_sent"));
    }
    SUBCASE("reports a request that ran at more endpoints than its route allows")
    {
        observed.calls = {make_call("a", call_kind::idempotent)};
        observed.executions = {make_run("a"), make_run("a", "engine-2"), make_run("a", "engine-3")};
        CHECK(names(observed) == only("attempts"));
    }
    SUBCASE("reports a denial of a request that every configuration allows")
    {
        observed.calls = {make_call("a", call_kind::idempotent, 401)};
        CHECK(names(observed) == only("denial"));
    }
    SUBCASE("with an endpoint that announced its drain")
    {
        observed.changes = {{change_kind::drain, "engine-1", 0, start}};
        observed.calls = {make_call("a", call_kind::idempotent)};
        observed.executions = {make_run("a")};

        SUBCASE("accepts requests that arrive within the bound")
        {
            observed.executions.front().at = start + milliseconds{1999};
            CHECK(names(observed) == none);
        }
        SUBCASE("reports one that arrives later")
        {
            observed.executions.front().at = start + milliseconds{2001};
            CHECK(names(observed) == only("drain"));

            SUBCASE("but not from a router that was disturbed shortly before the change")
            {
                const auto number = observed.outages.begin(0, false, start - seconds{5});
                observed.outages.end(number, start - seconds{2});
                CHECK(names(observed) == none);
            }
            SUBCASE("and reports it even if another router was disturbed")
            {
                (void)observed.outages.begin(1, false, start);
                CHECK(names(observed) == only("drain"));
            }
        }
    }
    SUBCASE("with a failure domain that is evacuated, reports requests until it is restored")
    {
        observed.changes = {{change_kind::domain_out, "ikeja-a", 0, start},
                            {change_kind::domain_back, "ikeja-a", 0, start + seconds{8}}};
        observed.calls = {make_call("a", call_kind::idempotent)};
        observed.executions = {make_run("a")};
        observed.executions.front().at = start + seconds{6};
        CHECK(names(observed) == only("domain_out"));
        observed.executions.front().at = start + seconds{9};
        CHECK(names(observed) == none);
    }
    SUBCASE("with a probed configuration, reports a router that lacks it after the bound")
    {
        observed.changes = {{change_kind::configuration, {}, 7, start}};
        auto probe = make_call("p", call_kind::probe, 404);
        probe.version = 7;
        probe.written_at = start + milliseconds{2100};
        probe.ended_at = probe.written_at + milliseconds{5};
        observed.calls = {probe};
        CHECK(names(observed) == only("configuration"));

        SUBCASE("reports one that loses a version that it had, even during an outage")
        {
            (void)observed.outages.begin(0, false, start);
            CHECK(names(observed) == none);
            auto had = make_call("q", call_kind::probe);
            had.version = 8;
            observed.calls = {had, probe};
            CHECK(names(observed) == only("versions_rise"));
            observed.calls.back().process_number = 1;
            CHECK(names(observed) == none);
        }
    }
    SUBCASE("reports endpoints over the load bound, but only while nothing is disturbed")
    {
        for (int n = 0; n != 25; ++n)
        {
            observed.arrivals.push_back({"engine-1", start + milliseconds{n * 10}, 8, 2, false});
        }
        CHECK(names(observed) == only("load"));
        (void)observed.outages.begin(endpoints_component, false, start);
        CHECK(names(observed) == none);
    }
    SUBCASE("reports a cold endpoint over its rate limit, even during an outage")
    {
        (void)observed.outages.begin(machine_component, false, start - seconds{9});
        for (int n = 0; n != 19; ++n)
        {
            observed.arrivals.push_back({"engine-1", start + milliseconds{n * 50}, 0, 2, true});
        }
        CHECK(names(observed) == only("cold"));
        observed.arrivals.pop_back();
        CHECK(names(observed) == none);
    }
    SUBCASE("with a router that received a stop request, reports a call that was cut off")
    {
        (void)observed.outages.begin(0, true, start + milliseconds{10});
        auto cut = make_call("a", call_kind::plain_stream, 0);
        observed.calls = {cut};
        observed.executions = {make_run("a")};
        CHECK(names(observed) == only("graceful_stop"));

        SUBCASE("but not if the request crossed the close and was not forwarded")
        {
            observed.executions.clear();
            CHECK(names(observed) == none);
        }
        SUBCASE("and not if the endpoints were disturbed")
        {
            (void)observed.outages.begin(endpoints_component, false, start - seconds{1});
            CHECK(names(observed) == none);
        }
    }
    SUBCASE("with requests that ran and whose connections ended without a response")
    {
        for (const auto* id : {"a", "b", "c"})
        {
            observed.calls.push_back(make_call(id, call_kind::single_run, 0));
            observed.executions.push_back(make_run(id));
        }

        SUBCASE("accepts three of a run")
        {
            CHECK(names(observed) == none);
        }
        SUBCASE("reports each further one")
        {
            observed.calls.push_back(make_call("d", call_kind::idempotent, 0));
            observed.executions.push_back(make_run("d"));
            CHECK(names(observed) == only("unanswered"));
            observed.calls.push_back(make_call("e", call_kind::single_run, 0));
            observed.executions.push_back(make_run("e"));
            CHECK(names(observed) == std::vector<std::string>{"unanswered", "unanswered"});

            SUBCASE("also if the router was paused, the store was down or the machine stalled")
            {
                (void)observed.outages.begin(0, false, start);
                (void)observed.outages.begin(store_component, false, start);
                (void)observed.outages.begin(machine_component, false, start);
                CHECK(names(observed).size() == 2);
            }
            SUBCASE("also if another router was killed")
            {
                observed.process_ends = {{1, 0, start + milliseconds{5}}};
                (void)observed.outages.begin(1, false, start);
                CHECK(names(observed).size() == 2);
            }
            SUBCASE("also if one ended a little before its deadline")
            {
                observed.calls.back().ended_at = observed.calls.back().written_at +
                                                 request_deadline - stamp_slack - milliseconds{1};
                CHECK(names(observed).size() == 2);
            }
            SUBCASE("but not if the router itself was killed")
            {
                observed.process_ends = {{0, 0, start + milliseconds{5}}};
                CHECK(names(observed) == none);
                observed.process_ends = {{0, 1, start + milliseconds{5}}};
                CHECK(names(observed).size() == 2);
            }
            SUBCASE("and not if the endpoints were disturbed shortly before")
            {
                const auto number =
                    observed.outages.begin(endpoints_component, false, start - seconds{4});
                observed.outages.end(number, start - seconds{2});
                CHECK(names(observed) == none);
            }
        }
        SUBCASE("and a fourth one that is excused by its own fate")
        {
            auto fourth = make_call("d", call_kind::plain_stream, 0);
            observed.executions.push_back(make_run("d"));

            SUBCASE("accepts one whose caller gave up")
            {
                fourth.abandoned = true;
            }
            SUBCASE("accepts one that ended after its deadline")
            {
                fourth.ended_at = fourth.written_at + request_deadline;
            }
            SUBCASE("accepts one whose deadline began just before its caller noted the write")
            {
                fourth.ended_at = fourth.written_at + request_deadline - stamp_slack;
            }
            SUBCASE("accepts one that was not forwarded")
            {
                observed.executions.pop_back();
            }
            SUBCASE("accepts a truncated stream if the machine was disturbed")
            {
                fourth.status = 200;
                fourth.complete = false;
                (void)observed.outages.begin(machine_component, false, start);
            }
            observed.calls.push_back(fourth);
            CHECK(names(observed) == none);
        }
        SUBCASE("reports a stream that was truncated while only its router was disturbed")
        {
            auto fourth = make_call("d", call_kind::plain_stream, 200);
            fourth.complete = false;
            observed.calls.push_back(fourth);
            observed.executions.push_back(make_run("d"));
            (void)observed.outages.begin(0, false, start);
            CHECK(names(observed) == only("unanswered"));

            SUBCASE("also if another router was disturbed, which carries no responses")
            {
                (void)observed.outages.begin(1, false, start);
                CHECK(names(observed) == only("unanswered"));
            }
        }
    }
    SUBCASE("with a long stream that a stopping router passed on and cut")
    {
        observed.process_ends = {{0, 0, start, true}};
        auto cut = make_call("minutes-1-1", call_kind::long_stream);
        cut.complete = false;
        cut.deadline = long_route_timeout;
        cut.written_at = start + milliseconds{4500};
        cut.sending_at = cut.written_at;
        cut.ended_at = start + milliseconds{7550};
        auto run = make_run(cut.request);
        run.endpoint_number = 4;
        run.at = cut.written_at;
        run.ended_at = cut.ended_at;

        SUBCASE(
            "reports one that was sent later than three eighths of the grace period after SIGTERM")
        {
            observed.calls = {cut};
            observed.executions = {run};
            CHECK(names(observed) == only("lost_at_stop"));

            SUBCASE("also one that got no byte of a response")
            {
                observed.calls.front().status = 0;
                CHECK(names(observed) == only("lost_at_stop"));
            }
            SUBCASE("also a body")
            {
                observed.calls.front().kind = call_kind::long_body;
                CHECK(names(observed) == only("lost_at_stop"));
            }
            SUBCASE(
                "also if the store, the machine, another router or another endpoint was disturbed")
            {
                (void)observed.outages.begin(store_component, false, start);
                (void)observed.outages.begin(machine_component, false, start);
                (void)observed.outages.begin(1, false, start);
                (void)observed.outages.begin(endpoint_component(5), false, start);
                CHECK(names(observed) == only("lost_at_stop"));
            }
            SUBCASE("but not if its router had an unplanned fault")
            {
                (void)observed.outages.begin(0, false, start + milliseconds{3000});
                CHECK(names(observed) == none);
            }
            SUBCASE("not if its endpoint had a fault")
            {
                (void)observed.outages.begin(endpoint_component(4), false,
                                             start + milliseconds{5000});
                CHECK(names(observed) == none);
            }
            SUBCASE("not if its deadline had passed")
            {
                observed.calls.front().deadline = milliseconds{3050};
                CHECK(names(observed) == none);
            }
            SUBCASE("not if its caller gave up")
            {
                observed.calls.front().abandoned = true;
                CHECK(names(observed) == none);
            }
            SUBCASE("not if it was not passed on")
            {
                observed.executions.clear();
                CHECK(names(observed) == none);
            }
            SUBCASE("not if it was answered, also with a failure")
            {
                observed.calls.front().status = 502;
                observed.calls.front().complete = true;
                CHECK(names(observed) == none);
                CHECK(invariant_checker{observed}.at_stops() == stop_counts{1, 1, 0});
            }
            SUBCASE("not if SIGTERM went to another process of the router, or came after the end")
            {
                observed.process_ends = {{0, 1, start, true},
                                         {0, 0, start + milliseconds{7551}, true}};
                CHECK(names(observed) == none);
            }
            SUBCASE("and not if the process was killed")
            {
                observed.process_ends.front().planned = false;
                CHECK(names(observed) == none);
            }
        }
        SUBCASE("of one that was sent by then")
        {
            cut.written_at = start + milliseconds{3000};
            cut.sending_at = cut.written_at;
            observed.calls = {cut};
            observed.executions = {run};

            SUBCASE("accepts a cut while its endpoint was at work in the last sixth")
            {
                CHECK(names(observed) == none);
                CHECK(invariant_checker{observed}.at_stops() == stop_counts{0, 0, 1});
            }
            SUBCASE("accepts it also if it was sent before SIGTERM")
            {
                observed.calls.front().sending_at = start - milliseconds{2000};
                CHECK(names(observed) == none);
            }
            SUBCASE("reports it if its endpoint had ended its work before")
            {
                observed.executions.front().ended_at = start + milliseconds{6600};
                CHECK(names(observed) == only("lost_at_stop"));
            }
            SUBCASE("reports a cut before the last sixth, although its endpoint worked on")
            {
                observed.calls.front().ended_at = start + milliseconds{6600};
                CHECK(names(observed) == only("lost_at_stop"));
            }
        }
        SUBCASE("and nothing else disturbed, reports it as a failed planned stop too")
        {
            observed.calls = {cut};
            observed.executions = {run};
            (void)observed.outages.begin(0, true, start);
            CHECK(names(observed) == std::vector<std::string>{"graceful_stop", "lost_at_stop"});

            SUBCASE("but not what the stop may cut at its end")
            {
                observed.calls.front().sending_at = start + milliseconds{3000};
                CHECK(names(observed) == none);
            }
            SUBCASE("and not what ended at its deadline")
            {
                observed.calls.front().deadline = milliseconds{3050};
                CHECK(names(observed) == none);
            }
        }
    }
    SUBCASE("counts requests that a running router did not read before it closed the connection")
    {
        observed.calls = {make_call("a", call_kind::single_run, 0),
                          make_call("b", call_kind::single_run, 0),
                          make_call("c", call_kind::single_run)};
        observed.executions = {make_run("b"), make_run("c")};
        CHECK(invariant_checker{observed}.closed_unread() == 1);

        SUBCASE("but not one that its caller wrote too slowly")
        {
            observed.calls.front().sent_in_time = false;
            CHECK(invariant_checker{observed}.closed_unread() == 0);
        }
        observed.process_ends = {{0, 0, start}};
        CHECK(invariant_checker{observed}.closed_unread() == 0);
    }
}

// Tests of the soak's judge: each breach that it must find, and what must be excused.
#include "soak/judge.hpp"

#include <doctest/doctest.h>

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
    result.ended_at = start + milliseconds{50};
    result.status = status;
    result.complete = status != 0;
    result.has_signature = status == 200;
    result.body_matches = status == 200;
    return result;
}

run_record make_run(const std::string& id, const std::string& endpoint = "engine-1")
{
    return {id, endpoint, "ikeja-a", start + milliseconds{10}, true};
}

std::vector<std::string> names(const evidence& seen)
{
    std::vector<std::string> result;
    for (const auto& it : judge{seen}.all())
    {
        result.push_back(it.promise);
    }
    return result;
}

const std::vector<std::string> none;

std::vector<std::string> only(const std::string& name)
{
    return {name};
}

} // namespace

TEST_CASE("the judge of a soak run")
{
    evidence seen;

    SUBCASE("finds nothing in requests that went well")
    {
        seen.calls = {make_call("a", call_kind::grant), make_call("b", call_kind::rights)};
        seen.runs = {make_run("a"), make_run("b"), make_run("b", "engine-2")};
        CHECK(names(seen) == none);
    }
    SUBCASE("finds a request that may run once and ran twice")
    {
        seen.calls = {make_call("a", call_kind::review, 0)};
        seen.runs = {make_run("a"), make_run("a")};
        CHECK(names(seen) == only("single_run"));
    }
    SUBCASE("finds a refusal of a request that ran")
    {
        seen.calls = {make_call("a", call_kind::grant, 503)};
        seen.runs = {make_run("a")};
        CHECK(names(seen) == only("true_refusal"));

        SUBCASE("but not where it may be repeated, or where nothing is promised")
        {
            seen.calls = {make_call("a", call_kind::status, 503),
                          make_call("b", call_kind::grant, 502)};
            seen.runs = {make_run("a"), make_run("b")};
            CHECK(names(seen) == none);
        }
    }
    SUBCASE("finds answers that are not the endpoint's")
    {
        auto call = make_call("a", call_kind::rights);
        call.body_matches = false;
        seen.calls = {call};
        seen.runs = {make_run("a")};
        CHECK(names(seen) == only("whole_answer"));

        SUBCASE("or that lack its signature")
        {
            seen.calls.front().body_matches = true;
            seen.calls.front().has_signature = false;
            CHECK(names(seen) == only("whole_answer"));
        }
        SUBCASE("but not when they end early and show it")
        {
            seen.calls.front().complete = false;
            CHECK(names(seen) == none);
        }
    }
    SUBCASE("finds a request that was changed on its way")
    {
        seen.calls = {make_call("a", call_kind::status)};
        seen.runs = {make_run("a")};
        seen.runs.front().as_sent = false;
        CHECK(names(seen) == only("run_as_sent"));
    }
    SUBCASE("finds a request that ran at more endpoints than its route allows")
    {
        seen.calls = {make_call("a", call_kind::status)};
        seen.runs = {make_run("a"), make_run("a", "engine-2"), make_run("a", "engine-3")};
        CHECK(names(seen) == only("attempts"));
    }
    SUBCASE("finds a denial of what every configuration allows")
    {
        seen.calls = {make_call("a", call_kind::status, 401)};
        CHECK(names(seen) == only("denial"));
    }
    SUBCASE("with an endpoint that leaves")
    {
        seen.changes = {{change_kind::drain, "engine-1", 0, start}};
        seen.calls = {make_call("a", call_kind::status)};
        seen.runs = {make_run("a")};

        SUBCASE("lets requests through that come in time")
        {
            seen.runs.front().at = start + milliseconds{1999};
            CHECK(names(seen) == none);
        }
        SUBCASE("finds one that comes later")
        {
            seen.runs.front().at = start + milliseconds{2001};
            CHECK(names(seen) == only("drain"));

            SUBCASE("but not from a router that was disturbed a moment before the change")
            {
                const auto number = seen.outages.begin(0, false, start - seconds{5});
                seen.outages.end(number, start - seconds{2});
                CHECK(names(seen) == none);
            }
            SUBCASE("also when another router was disturbed")
            {
                (void)seen.outages.begin(1, false, start);
                CHECK(names(seen) == only("drain"));
            }
        }
    }
    SUBCASE("with a failure domain that is taken out and taken back")
    {
        seen.changes = {{change_kind::domain_out, "ikeja-a", 0, start},
                        {change_kind::domain_back, "ikeja-a", 0, start + seconds{8}}};
        seen.calls = {make_call("a", call_kind::status)};
        seen.runs = {make_run("a")};
        seen.runs.front().at = start + seconds{6};
        CHECK(names(seen) == only("domain_out"));
        seen.runs.front().at = start + seconds{9};
        CHECK(names(seen) == none);
    }
    SUBCASE("with configurations that are probed")
    {
        seen.changes = {{change_kind::configuration, {}, 7, start}};
        auto probe = make_call("p", call_kind::probe, 404);
        probe.version = 7;
        probe.written_at = start + milliseconds{2100};
        probe.ended_at = probe.written_at + milliseconds{5};
        seen.calls = {probe};
        CHECK(names(seen) == only("configuration"));

        SUBCASE("a router that had it must not lack it later, in touch or not")
        {
            (void)seen.outages.begin(0, false, start);
            CHECK(names(seen) == none);
            auto had = make_call("q", call_kind::probe);
            had.version = 8;
            seen.calls = {had, probe};
            CHECK(names(seen) == only("versions_rise"));
            seen.calls.back().boot = 1;
            CHECK(names(seen) == none);
        }
    }
    SUBCASE("finds endpoints beyond the load bound, but only while nothing is disturbed")
    {
        for (int n = 0; n != 25; ++n)
        {
            seen.arrivals.push_back({"engine-1", start + milliseconds{n * 10}, 8, 2, false});
        }
        CHECK(names(seen) == only("load"));
        (void)seen.outages.begin(the_endpoints, false, start);
        CHECK(names(seen) == none);
    }
    SUBCASE("finds a cold endpoint that gets more than it bears, disturbed or not")
    {
        (void)seen.outages.begin(everything, false, start - seconds{9});
        for (int n = 0; n != 19; ++n)
        {
            seen.arrivals.push_back({"engine-1", start + milliseconds{n * 50}, 0, 2, true});
        }
        CHECK(names(seen) == only("cold"));
        seen.arrivals.pop_back();
        CHECK(names(seen) == none);
    }
    SUBCASE("with a router that is asked to stop")
    {
        (void)seen.outages.begin(0, true, start + milliseconds{10});
        auto cut = make_call("a", call_kind::review, 0);
        seen.calls = {cut};
        seen.runs = {make_run("a")};
        CHECK(names(seen) == only("graceful_stop"));

        SUBCASE("but not when the request crossed the close and was not passed on")
        {
            seen.runs.clear();
            CHECK(names(seen) == none);
        }
        SUBCASE("and not when its endpoints were disturbed")
        {
            (void)seen.outages.begin(the_endpoints, false, start - seconds{1});
            CHECK(names(seen) == none);
        }
    }
}

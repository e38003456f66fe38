// Tests of mangovane-platform as real processes, end to end, with faults of endpoints, store and
// other routers.
#include <csignal>
#include <future>
#include <thread>

#include <doctest/doctest.h>

#include "platform/router_fleet.hpp"

using namespace mangovane;
using namespace mangovane::test;
using standin::engine_fault;

namespace
{

/// Body of a complete stream with `last` events for a request id.
std::string events(const std::string& id, int last)
{
    std::string result;
    for (int n = 1; n <= last; ++n)
    {
        result += "id: " + std::to_string(n) + "\ndata: " + id + "-" + std::to_string(n) + "\n\n";
    }
    return result;
}

} // namespace

TEST_CASE("a router with two plain endpoints and two model engines")
{
    router_fleet fleet{1};
    for (const auto* name : {"plain-1", "plain-2"})
    {
        fleet.add_engine(name, "ventanilla");
    }
    for (const auto* name : {"engine-1", "engine-2"})
    {
        fleet.add_engine(name, "dictamen");
    }
    REQUIRE(fleet.await_ready(0));
    const auto fail_next = [&](const char* first, const char* second, engine_fault fault)
    {
        // The fault occurs at whichever of the two is chosen first.
        fleet.engines[first]->engine.set_fault(fault, 1);
        fleet.engines[second]->engine.set_fault(fault, 1);
    };

    SUBCASE("forwards a request with the account of its key, and returns the response unchanged")
    {
        const auto response = fleet.call(0, "POST", "grant", "g1");
        CHECK(response.status == 200);
        CHECK(response.body == "done g1");
        auto runs = fleet.engines["plain-1"]->engine.runs();
        const auto more = fleet.engines["plain-2"]->engine.runs();
        runs.insert(runs.end(), more.begin(), more.end());
        REQUIRE(runs.size() == 1);
        CHECK(runs[0].target == "/grant/7?x=1");
        CHECK(runs[0].body == "the body of g1");
        CHECK(runs[0].account == "desk");
        CHECK_FALSE(runs[0].had_key);
        // The remainder of the route's timeout of 800 ms, not of the caller's 2,500 ms.
        CHECK(runs[0].deadline_ms <= 800);
    }
    SUBCASE("rejects a request without a route or a known key")
    {
        CHECK(fleet.call(0, "POST", "nothing", "n1").status == 404);
        CHECK(fleet.call(0, "POST", "grant", "n2", "other").status == 401);
        CHECK(runs_of(fleet, "n2") == 0);
    }
    SUBCASE("executes a request that must not be repeated once, whatever the endpoint's fault")
    {
        for (const auto fault : {engine_fault::error, engine_fault::reset, engine_fault::malformed,
                                 engine_fault::wrong_attempt_id, engine_fault::unsigned_answer,
                                 engine_fault::ambiguous, engine_fault::hang})
        {
            const auto id = "once-" + std::to_string(static_cast<int>(fault));
            CAPTURE(id);
            fail_next("plain-1", "plain-2", fault);
            const auto response = fleet.call(0, "POST", "grant", id);
            CAPTURE(response.error);
            CHECK(runs_of(fleet, id) == 1);
            CHECK(response.status >= 500);
            // 503 would state that the request was not executed.
            CHECK(response.status != 503);
            CHECK_FALSE(response.has("done"));
            fail_next("plain-1", "plain-2", engine_fault::none);
        }
    }
    SUBCASE("sends a request to another endpoint if the first has no capacity")
    {
        fleet.engines["plain-1"]->engine.set_fault(engine_fault::full, 1);
        fleet.engines["plain-2"]->engine.set_fault(engine_fault::none, 0);
        for (int n = 0; n != 4; ++n)
        {
            const auto id = "room-" + std::to_string(n);
            CHECK(fleet.call(0, "POST", "grant", id).status == 200);
            CHECK(runs_of(fleet, id) == 1);
        }
    }
    SUBCASE("retries an idempotent request at another endpoint")
    {
        int served = 0;
        for (const auto fault : {engine_fault::error, engine_fault::reset, engine_fault::malformed,
                                 engine_fault::wrong_attempt_id, engine_fault::hang})
        {
            fleet.engines["plain-1"]->engine.set_fault(fault, 1);
            const auto id = "again-" + std::to_string(static_cast<int>(fault));
            served += fleet.call(0, "GET", "status", id).body == "done " + id ? 1 : 0;
            served += fleet.call(0, "GET", "status", id + "x").body == "done " + id + "x" ? 1 : 0;
        }
        CHECK(served == 10);
    }
    SUBCASE("forwards a complete stream, and sends the next request of its chat to the same engine")
    {
        const auto response = fleet.call(0, "POST", "review", "s1");
        CHECK(response.status == 200);
        CHECK(response.body == events("s1", 6));
        // Another request of the same chat.
        (void)fleet.call(0, "POST", "review", "s2");
        const auto one = fleet.engines["engine-1"]->engine.runs().size();
        const auto two = fleet.engines["engine-2"]->engine.runs().size();
        CHECK(one + two == 2);
        CHECK(one * two == 0);
    }
    SUBCASE("resumes a broken stream at another engine if its route allows it")
    {
        fail_next("engine-1", "engine-2", engine_fault::none);
        fleet.engines["engine-1"]->engine.set_fault(engine_fault::cut, 1);
        fleet.engines["engine-2"]->engine.set_fault(engine_fault::none, 0);
        const auto first = fleet.call(0, "POST", "rights", "r1");
        CHECK(first.status == 200);
        CHECK(first.body == events("r1", 6));
        fleet.engines["engine-1"]->engine.set_fault(engine_fault::none, 0);
        fleet.engines["engine-2"]->engine.set_fault(engine_fault::cut, 1);
        CHECK(fleet.call(0, "POST", "rights", "r2").body == events("r2", 6));
    }
    SUBCASE("does not end a broken stream as if it were complete if it must not be resumed")
    {
        fail_next("engine-1", "engine-2", engine_fault::cut);
        const auto response = fleet.call(0, "POST", "review", "c1");
        CHECK(response.status == 0);
        CHECK(runs_of(fleet, "c1") == 1);
    }
    SUBCASE("sends no requests to a draining endpoint, and uses a new one")
    {
        fleet.write_entry("plain-1", "ventanilla", "draining");
        std::this_thread::sleep_for(milliseconds{1000});
        for (int n = 0; n != 6; ++n)
        {
            CHECK(fleet.call(0, "POST", "grant", "l" + std::to_string(n)).status == 200);
        }
        CHECK(fleet.engines["plain-1"]->engine.runs().empty());
        fleet.store.remove("servers", "plain-2");
        fleet.add_engine("plain-3", "ventanilla");
        std::this_thread::sleep_for(milliseconds{1000});
        CHECK(fleet.call(0, "POST", "grant", "l9").status == 200);
        CHECK(fleet.engines["plain-3"]->engine.runs().size() == 1);
    }
    SUBCASE("continues to serve while the store is down, and ignores malformed entries")
    {
        fleet.store.put("servers", "junk", "\xff not JSON");
        fleet.store.put("op", "config", "{broken");
        std::this_thread::sleep_for(milliseconds{600});
        fleet.store.set_faults({.down = true});
        std::this_thread::sleep_for(milliseconds{1200});
        CHECK(fleet.call(0, "POST", "grant", "away").status == 200);
        CHECK(fleet.ready_status(0) == 200);
    }
    SUBCASE("completes the request in progress before it exits")
    {
        auto response =
            std::async(std::launch::async, [&] { return fleet.call(0, "POST", "review", "stop"); });
        CHECK(eventually([&] { return runs_of(fleet, "stop") == 1; }, milliseconds{5000}));
        fleet.processes[0]->signal(SIGTERM);
        CHECK(response.get().body == events("stop", 6));
        CHECK(fleet.processes[0]->wait(milliseconds{8000}) == 0);
    }
    SUBCASE("rejects ambiguous framing, which allows request smuggling")
    {
        http_request it;
        it.method = "POST";
        it.target = "/grant/1";
        it.fields = {{"Host", "desk.example"},
                     {"X-Attempt-Id", "smuggled"},
                     {"Authorization", "Bearer key-1"},
                     {"Transfer-Encoding", "chunked, identity"}};
        const auto response = send(fleet.address(0, 0), it);
        CHECK(response.status == 400);
        CHECK(runs_of(fleet, "smuggled") == 0);
        CHECK(fleet.call(0, "POST", "grant", "after").status == 200);
        CHECK_FALSE(fleet.processes[0]->wait(milliseconds{0}));
    }
}

TEST_CASE("several routers")
{
    router_fleet fleet{4};
    fleet.add_engine("plain-1", "ventanilla");
    fleet.add_engine("engine-1", "dictamen");
    for (std::size_t n = 0; n != 4; ++n)
    {
        REQUIRE(fleet.await_ready(n));
    }

    SUBCASE("share their reads of the store: the calls do not grow with the number of routers")
    {
        std::this_thread::sleep_for(seconds{3});
        const auto before = fleet.store.calls();
        std::this_thread::sleep_for(seconds{4});
        // In 4 s a polling router makes 7 calls for endpoints, 2 for the operators' rows and 1 for
        // the list of instances; four polling routers would make 36 calls or more.
        CHECK(fleet.store.calls() - before <= 2 * (7 + 2 + 1));
    }
    SUBCASE("send their state to a router that starts while the store is down")
    {
        fleet.processes[2]->signal(SIGKILL);
        CHECK(fleet.processes[2]->wait(milliseconds{5000}));
        fleet.store.set_faults({.down = true});
        fleet.start(2);
        CHECK(fleet.await_ready(2));
        CHECK(fleet.call(2, "POST", "grant", "after").status == 200);
    }
    SUBCASE("apply a change also after the polling routers were killed")
    {
        std::this_thread::sleep_for(seconds{1});
        fleet.processes[0]->signal(SIGKILL);
        fleet.processes[1]->signal(SIGKILL);
        fleet.add_engine("plain-2", "ventanilla");
        fleet.store.remove("servers", "plain-1");
        const auto moved = [&](std::size_t n, const std::string& id)
        {
            (void)fleet.call(n, "POST", "grant", id);
            const auto runs = fleet.engines["plain-2"]->engine.runs();
            return std::any_of(runs.begin(), runs.end(),
                               [&](const auto& it) { return it.request == id; });
        };
        CHECK(eventually([&] { return moved(2, "m2"); }, milliseconds{5000}));
        CHECK(eventually([&] { return moved(3, "m3"); }, milliseconds{5000}));
    }
}

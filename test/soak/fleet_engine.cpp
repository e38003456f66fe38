// Guards against an endpoint of the soak that ends a cut response as complete, so that a run blames
// the router for a body that the endpoint sent.
#include "standin/fleet_engine.hpp"

#include <doctest/doctest.h>

#include "process/http_client.hpp"
#include "standin/hosted_server.hpp"

using namespace mangovane;
using namespace mangovane::standin;

TEST_CASE("a cut response of the endpoints' stand-in")
{
    fleet_engine_behaviour behaviour;
    behaviour.name = "engine-1";
    test::http_request call{"GET", "/review/7", "", {{"X-Attempt-Id", "a"}}, seconds{2}};

    const auto response = [&](engine_fault fault)
    {
        fleet_engine engine{behaviour};
        engine.set_fault(fault, 1);
        const hosted_server host{[&](const request& req, reply& rep)
                                 { return engine.handle(req, rep); }};
        return test::send(host.address(), call);
    };

    SUBCASE("is incomplete for a stream of any number of events")
    {
        call.fields.emplace_back("X-Prefix-Hash", "aa:500");
        for (const std::uint32_t events : {0, 1, 2, 3, 6})
        {
            CAPTURE(events);
            behaviour.work.events = events;
            CHECK(response(engine_fault::none).status == 200);
            CHECK(response(engine_fault::cut).connected);
            CHECK(response(engine_fault::cut).status == 0);
        }

        SUBCASE("also when it resumes close to the end of the stream")
        {
            call.fields.emplace_back("Last-Event-ID", "5");
            CHECK(response(engine_fault::cut).status == 0);
        }
        SUBCASE("and when it resumes after the last event")
        {
            call.fields.emplace_back("Last-Event-ID", "6");
            CHECK(response(engine_fault::cut).status == 0);
        }
    }
    SUBCASE("is incomplete for a body without events")
    {
        behaviour.work.events = 0;
        CHECK(response(engine_fault::none).status == 200);
        CHECK(response(engine_fault::cut).connected);
        CHECK(response(engine_fault::cut).status == 0);
    }
}
